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

// If any byte of the header or the records of the last segment is changed, or the segment is truncated, Replay returns an
// error. It must not skip an acknowledged record without an error.
func TestReplayDetectsDamage(t *testing.T) {
	dir := t.TempDir()
	l := reopen(t, OSFileSystem{}, dir)
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
	assert.ErrorIs(t, err, ErrDamaged, "truncated segment")
	require.NoError(t, os.WriteFile(path, append(newerHeader(), intact[headerSize:]...), 0o600))
	_, _, _, err = replay(t, dir, 0)
	assert.ErrorIs(t, err, ErrVersion)
	require.NoError(t, os.WriteFile(path, intact, 0o600))
	payloads, _, _, err := replay(t, dir, 0)
	require.NoError(t, err)
	assert.Equal(t, want, payloads)
}

// newerHeader returns a segment header with the next version of the format.
func newerHeader() []byte {
	header := segmentHeader{size: testSegmentSize, firstSequence: 1}.encode()
	binary.BigEndian.PutUint16(header[8:], formatVersion+1)
	checksum := crc32.Checksum(header[:headerChecksum], castagnoli)
	binary.BigEndian.PutUint32(header[headerChecksum:], checksum)
	return header
}

// An interrupted write leaves zeros from the start of some sector on. The record was never acknowledged, so Replay skips
// it, and replays records that are appended after a restart.
func TestTornRecordIsSkipped(t *testing.T) {
	for keep := 0; keep < 1500; keep += 100 {
		dir := t.TempDir()
		l := reopen(t, OSFileSystem{}, dir)
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
		payloads, nextSequence, _, err := replay(t, dir, 0)
		require.NoError(t, err, "cut at %d", cut)
		assert.Equal(t, want, payloads)
		assert.Equal(t, uint64(3), nextSequence)
		reopened := reopen(t, OSFileSystem{}, dir)
		want = append(want, appendRecords(t, reopened, 3, 9)...)
		payloads, _, _, err = replay(t, dir, 0)
		require.NoError(t, err)
		assert.Equal(t, want, payloads)
	}
}

// For any content, Replay visits only records that have a payload and a nonzero sequence, and never panics.
func FuzzReplay(f *testing.F) {
	f.Add([]byte("short"), uint16(0))
	f.Add(appendRecord(nil, 1, []byte("one")), uint16(3))
	f.Fuzz(func(t *testing.T, fuzzed []byte, offset uint16) {
		dir := t.TempDir()
		content := make([]byte, testSegmentSize)
		copy(content, segmentHeader{size: testSegmentSize, firstSequence: 1}.encode())
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
