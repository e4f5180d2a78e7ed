package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const small = 4096

func read(t *testing.T, dir string, after uint64) (got []string, next uint64, end int64, err error) {
	t.Helper()
	next, end, err = Replay(dir, after, func(_ uint64, p []byte) error {
		got = append(got, string(p))
		return nil
	})
	return got, next, end, err
}

func reopen(t *testing.T, fs FS, dir string) *Log {
	t.Helper()
	_, next, end, err := read(t, dir, 0)
	require.NoError(t, err)
	l, err := Open(fs, dir, small, next, end)
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

func fill(t *testing.T, l *Log, from, to int) (want []string) {
	t.Helper()
	for i := from; i < to; i++ {
		p := fmt.Sprintf("record %d %0*d", i, i%700, 0)
		require.NoError(t, l.Append([]byte(p)))
		want = append(want, p)
	}
	return want
}

func TestRecordsComeBackInOrderOverSegmentsAndRestarts(t *testing.T) {
	dir := t.TempDir()
	want := fill(t, reopen(t, Disk{}, dir), 1, 200)
	want = append(want, fill(t, reopen(t, Disk{}, dir), 200, 400)...)
	reopen(t, Disk{}, dir) // a run that writes nothing leaves no trace
	l := reopen(t, Disk{}, dir)
	got, next, _, err := read(t, dir, 0)
	require.NoError(t, err)
	assert.Equal(t, want, got)
	assert.Equal(t, uint64(400), next)
	require.NoError(t, l.Release(300))
	got, _, _, err = read(t, dir, 300)
	require.NoError(t, err)
	assert.Equal(t, want[300:], got)
	_, _, _, err = read(t, dir, 5)
	assert.ErrorIs(t, err, ErrDamaged, "records that the file does not hold must be there")
	assert.ErrorIs(t, l.Append(make([]byte, small)), ErrRecordTooLarge)
}

// Every byte of a log's last segment is changed in turn, and every length tried: what was acknowledged is never
// silently left out, except that a cut inside the last record looks like a write that never ended.
func TestDamageIsFound(t *testing.T) {
	dir := t.TempDir()
	l := reopen(t, Disk{}, dir)
	want := fill(t, l, 1, 4)
	path := name(dir, 1)
	good, err := os.ReadFile(path)
	require.NoError(t, err)
	for at := range int(l.end) {
		bad := append([]byte(nil), good...)
		bad[at] ^= 0x10
		require.NoError(t, os.WriteFile(path, bad, 0o600))
		_, _, _, err := read(t, dir, 0)
		require.Error(t, err, "byte %d", at)
	}
	require.NoError(t, os.WriteFile(path, good[:l.end-1], 0o600))
	_, _, _, err = read(t, dir, 0)
	assert.ErrorIs(t, err, ErrDamaged, "a file that was cut short")
	newer := head{size: small, first: 1}.encode()
	newer[9]++
	binary.BigEndian.PutUint32(newer[headSize-4:], crc32.Checksum(newer[:headSize-4], castagnoli))
	require.NoError(t, os.WriteFile(path, append(newer, good[headSize:]...), 0o600))
	_, _, _, err = read(t, dir, 0)
	assert.ErrorIs(t, err, ErrVersion)
	require.NoError(t, os.WriteFile(path, good, 0o600))
	got, _, _, err := read(t, dir, 0)
	require.NoError(t, err)
	assert.Equal(t, want, got)
}

// A write that was cut off leaves zeros from some sector on. It was never acknowledged, so it is dropped, and what
// comes later is read over it.
func TestTornRecordIsDropped(t *testing.T) {
	for keep := 0; keep < 1500; keep += 100 {
		dir := t.TempDir()
		l := reopen(t, Disk{}, dir)
		want := fill(t, l, 1, 3)
		start := l.end
		require.NoError(t, l.Append([]byte(fmt.Sprintf("%01500d", 7))))
		path := name(dir, 1)
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		cut := (int(start)+keep)/sector*sector + sector
		if cut >= int(l.end) {
			break
		}
		clear(data[cut:])
		require.NoError(t, os.WriteFile(path, data, 0o600))
		got, next, _, err := read(t, dir, 0)
		require.NoError(t, err, "cut at %d", cut)
		assert.Equal(t, want, got)
		assert.Equal(t, uint64(3), next)
		again := reopen(t, Disk{}, dir)
		want = append(want, fill(t, again, 3, 9)...)
		got, _, _, err = read(t, dir, 0)
		require.NoError(t, err)
		assert.Equal(t, want, got)
	}
}

// failing fails writes or syncs from some moment on.
type failing struct {
	Disk
	writes, syncs int // how many more work; below 0: all
}

type failingFile struct {
	File
	fs *failing
}

var errDisk = errors.New("no space left on device")

func spend(n *int) error {
	if *n == 0 {
		return errDisk
	}
	if *n > 0 {
		*n--
	}
	return nil
}

func (f *failing) Create(path string) (File, error) {
	file, err := f.Disk.Create(path)
	return failingFile{file, f}, err
}

func (f *failing) Open(path string) (File, error) {
	file, err := f.Disk.Open(path)
	return failingFile{file, f}, err
}

func (f failingFile) WriteAt(p []byte, at int64) (int, error) {
	if err := spend(&f.fs.writes); err != nil {
		n, _ := f.File.WriteAt(p[:len(p)/2], at)
		return n, err
	}
	return f.File.WriteAt(p, at)
}

func (f failingFile) Sync() error {
	if err := spend(&f.fs.syncs); err != nil {
		return err
	}
	return f.File.Sync()
}

// A record whose write or sync failed was refused: it must not come back, although all of it may stand on the disk.
func TestFailedRecordNeverComesBack(t *testing.T) {
	for _, first := range []int{0, 3} { // the first record of a segment, or a later one
		for _, sync := range []bool{false, true} {
			dir, fs := t.TempDir(), &failing{writes: -1, syncs: -1}
			l := reopen(t, fs, dir)
			want := fill(t, l, 1, 1+first)
			fs.writes, fs.syncs = 0, -1
			if sync {
				fs.writes, fs.syncs = -1, 0
			}
			for range 3 {
				require.ErrorIs(t, l.Append([]byte("refused")), errDisk)
			}
			fs.writes, fs.syncs = -1, -1
			want = append(want, fill(t, l, 10, 14)...)
			got, _, _, err := read(t, dir, 0)
			require.NoError(t, err)
			assert.Equal(t, want, got)
		}
	}
}

func FuzzReplay(f *testing.F) {
	f.Add([]byte("short"), uint16(0))
	f.Add(appendRecord(nil, 1, []byte("one")), uint16(3))
	f.Fuzz(func(t *testing.T, bytes []byte, at uint16) {
		dir := t.TempDir()
		data := make([]byte, small)
		copy(data, head{size: small, first: 1}.encode())
		copy(data[headSize:], appendRecord(nil, 1, []byte("first")))
		copy(data[min(int(at), small):], bytes)
		require.NoError(t, os.WriteFile(name(dir, 1), data, 0o600))
		Replay(dir, 0, func(sequence uint64, p []byte) error { // it reads what is whole, and never fails otherwise
			require.NotEmpty(t, p)
			require.NotZero(t, sequence)
			return nil
		})
	})
}
