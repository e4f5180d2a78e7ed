package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Each byte of a log's last segment is changed in turn, and the segment is cut short: no acknowledged record is left
// out without an error.
func TestReplayFindsDamage(t *testing.T) {
	dir := t.TempDir()
	l := reopen(t, Disk{}, dir)
	want := appendRecords(t, l, 1, 4)
	path := segmentPath(dir, 1)
	intact, err := os.ReadFile(path)
	require.NoError(t, err)
	for i := range int(l.end) {
		changed := bytes.Clone(intact)
		changed[i] ^= 0x10
		require.NoError(t, os.WriteFile(path, changed, 0o600))
		_, _, _, err := replay(t, dir, 0)
		require.Error(t, err, "byte %d", i)
	}
	require.NoError(t, os.WriteFile(path, intact[:l.end-1], 0o600))
	_, _, _, err = replay(t, dir, 0)
	assert.ErrorIs(t, err, ErrDamaged, "a file that was cut short")
	require.NoError(t, os.WriteFile(path, append(newerHeader(), intact[headerSize:]...), 0o600))
	_, _, _, err = replay(t, dir, 0)
	assert.ErrorIs(t, err, ErrVersion)
	require.NoError(t, os.WriteFile(path, intact, 0o600))
	payloads, _, _, err := replay(t, dir, 0)
	require.NoError(t, err)
	assert.Equal(t, want, payloads)
}

// newerHeader returns the header of a segment of the next version of the format.
func newerHeader() []byte {
	header := segmentHeader{size: testSegmentSize, first: 1}.encode()
	binary.BigEndian.PutUint16(header[8:], formatVersion+1)
	checksum := crc32.Checksum(header[:headerChecksum], castagnoli)
	binary.BigEndian.PutUint32(header[headerChecksum:], checksum)
	return header
}

// An interrupted write leaves zeros from some sector on. It was never acknowledged, so it is left out, and later
// records are replayed.
func TestTornRecordIsLeftOut(t *testing.T) {
	for keep := 0; keep < 1500; keep += 100 {
		dir := t.TempDir()
		l := reopen(t, Disk{}, dir)
		want := appendRecords(t, l, 1, 3)
		start := int(l.end)
		require.NoError(t, l.Append([]byte(fmt.Sprintf("%01500d", 7))))
		path := segmentPath(dir, 1)
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		cut := (start+keep)/sectorSize*sectorSize + sectorSize
		if cut >= int(l.end) {
			break
		}
		clear(content[cut:])
		require.NoError(t, os.WriteFile(path, content, 0o600))
		payloads, next, _, err := replay(t, dir, 0)
		require.NoError(t, err, "cut at %d", cut)
		assert.Equal(t, want, payloads)
		assert.Equal(t, uint64(3), next)
		reopened := reopen(t, Disk{}, dir)
		want = append(want, appendRecords(t, reopened, 3, 9)...)
		payloads, _, _, err = replay(t, dir, 0)
		require.NoError(t, err)
		assert.Equal(t, want, payloads)
	}
}

// Replay of any content visits intact records alone, and never panics.
func FuzzReplay(f *testing.F) {
	f.Add([]byte("short"), uint16(0))
	f.Add(appendRecord(nil, 1, []byte("one")), uint16(3))
	f.Fuzz(func(t *testing.T, fuzzed []byte, offset uint16) {
		dir := t.TempDir()
		content := make([]byte, testSegmentSize)
		copy(content, segmentHeader{size: testSegmentSize, first: 1}.encode())
		copy(content[headerSize:], appendRecord(nil, 1, []byte("first")))
		copy(content[min(int(offset), testSegmentSize):], fuzzed)
		require.NoError(t, os.WriteFile(segmentPath(dir, 1), content, 0o600))
		Replay(dir, 0, func(sequence uint64, payload []byte) error {
			require.NotEmpty(t, payload)
			require.NotZero(t, sequence)
			return nil
		})
	})
}
