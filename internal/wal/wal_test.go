package wal

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testSegmentSize = 4096

// replay returns the payloads of all records whose sequence is greater than after, and the results of Replay.
func replay(t *testing.T, dir string, after uint64) (payloads []string, nextSequence uint64, end int64, err error) {
	t.Helper()
	nextSequence, end, err = Replay(dir, after, func(_ uint64, payload []byte) error {
		payloads = append(payloads, string(payload))
		return nil
	})
	return payloads, nextSequence, end, err
}

func reopen(t *testing.T, fs FS, dir string) *Log {
	t.Helper()
	_, nextSequence, end, err := replay(t, dir, 0)
	require.NoError(t, err)
	l, err := Open(fs, dir, testSegmentSize, nextSequence, end)
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

// appendRecords appends records of several lengths, numbered in the range [from, to), and returns their payloads.
func appendRecords(t *testing.T, l *Log, from, to int) []string {
	t.Helper()
	var payloads []string
	for i := from; i < to; i++ {
		payload := fmt.Sprintf("record %d %0*d", i, i%700, 0)
		require.NoError(t, l.Append([]byte(payload)))
		payloads = append(payloads, payload)
	}
	return payloads
}

func TestRecordsAreReplayedInOrderAcrossSegmentsAndRestarts(t *testing.T) {
	dir := t.TempDir()
	want := appendRecords(t, reopen(t, OSFileSystem{}, dir), 1, 200)
	want = append(want, appendRecords(t, reopen(t, OSFileSystem{}, dir), 200, 400)...)
	reopen(t, OSFileSystem{}, dir) // opening the log without appending must not affect replay
	l := reopen(t, OSFileSystem{}, dir)
	payloads, nextSequence, _, err := replay(t, dir, 0)
	require.NoError(t, err)
	assert.Equal(t, want, payloads)
	assert.Equal(t, uint64(400), nextSequence)
	require.NoError(t, l.Release(300))
	payloads, _, _, err = replay(t, dir, 300)
	require.NoError(t, err)
	assert.Equal(t, want[300:], payloads)
	_, _, _, err = replay(t, dir, 5)
	assert.ErrorIs(t, err, ErrDamaged, "record 6 was released")
	assert.ErrorIs(t, l.Append(make([]byte, testSegmentSize)), ErrInvalidRecordSize)
}

// failingDisk is a disk whose writes or syncs fail after a given number of them.
type failingDisk struct {
	OSFileSystem
	writesLeft int // number of writes that still succeed; negative: all
	syncsLeft  int // number of syncs that still succeed; negative: all
}

type failingFile struct {
	File
	disk *failingDisk
}

var errDisk = errors.New("no space left on device")

// countDown decrements a positive counter, and returns errDisk if the counter is zero.
func countDown(left *int) error {
	if *left == 0 {
		return errDisk
	}
	if *left > 0 {
		*left--
	}
	return nil
}

func (d *failingDisk) Create(path string) (File, error) {
	file, err := d.OSFileSystem.Create(path)
	return failingFile{file, d}, err
}

func (d *failingDisk) Open(path string) (File, error) {
	file, err := d.OSFileSystem.Open(path)
	return failingFile{file, d}, err
}

// WriteAt writes half of the data before it returns an error.
func (f failingFile) WriteAt(data []byte, offset int64) (int, error) {
	if err := countDown(&f.disk.writesLeft); err != nil {
		written, _ := f.File.WriteAt(data[:len(data)/2], offset)
		return written, err
	}
	return f.File.WriteAt(data, offset)
}

func (f failingFile) Sync() error {
	if err := countDown(&f.disk.syncsLeft); err != nil {
		return err
	}
	return f.File.Sync()
}

// A record whose Append failed is never replayed after a later Append, although the whole record may be on the disk.
func TestFailedRecordIsNeverReplayed(t *testing.T) {
	for _, recordsBefore := range []int{0, 3} { // the failing record is the first of its segment, or a later one
		for _, failingOperation := range []string{"write", "sync"} {
			t.Run(fmt.Sprintf("%s after %d records", failingOperation, recordsBefore), func(t *testing.T) {
				dir := t.TempDir()
				disk := &failingDisk{writesLeft: -1, syncsLeft: -1}
				l := reopen(t, disk, dir)
				want := appendRecords(t, l, 1, 1+recordsBefore)
				if failingOperation == "write" {
					disk.writesLeft = 0
				} else {
					disk.syncsLeft = 0
				}
				for range 3 {
					require.ErrorIs(t, l.Append([]byte("failed")), errDisk)
				}
				disk.writesLeft = -1
				disk.syncsLeft = -1
				want = append(want, appendRecords(t, l, 10, 14)...)
				payloads, _, _, err := replay(t, dir, 0)
				require.NoError(t, err)
				assert.Equal(t, want, payloads)
			})
		}
	}
}
