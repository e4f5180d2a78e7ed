package durable

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	bolt "go.etcd.io/bbolt"
)

// Pages are released while the file grows and is mapped again. bbolt makes the file longer than its mapping, so a range
// based on the size of the file would reach past the mapping and release other memory of the program.
func TestReleasedPagesAreWithinTheMapping(t *testing.T) {
	path := storePath(t)
	db := open(t, path, Options{CheckpointBytes: 1 << 20})
	for i := range 230 {
		require.NoError(t, put(db, 0, fmt.Sprintf("%06d", i), make([]byte, 300_000)))
		require.NoError(t, db.runMaintenance(func() error {
			db.releasePages()
			return db.file.View(func(tx *bolt.Tx) error {
				address, size := db.mappedPages(tx)
				return requireMapped(t, path, address, size)
			})
		}))
	}
	require.NoError(t, db.Verify())
	require.Len(t, readAll(t, db, 0), 230)
}

// requireMapped fails the test unless the mapping that begins at address belongs to the file and contains the whole range.
func requireMapped(t *testing.T, path string, address, size uintptr) error {
	t.Helper()
	maps, err := os.ReadFile("/proc/self/maps")
	require.NoError(t, err)
	for line := range strings.Lines(string(maps)) {
		var from, to uintptr
		fmt.Sscanf(line, "%x-%x", &from, &to)
		if from == address {
			require.LessOrEqual(t, address+size, to)
			require.Contains(t, line, path)
			return nil
		}
	}
	return errors.New("no mapping begins at the address")
}
