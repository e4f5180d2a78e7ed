// Package wal is a write-ahead log: records appended to segments, each on the disk before Append returns. It knows
// nothing of what the records hold. One goroutine uses a Log.
//
// Segments are filled with zeros before their first use. So a full disk shows when a segment is made and never in
// the middle of a record, a sync need not change the file's size, and a record whose write was cut off can be
// told from one that was damaged later: the first is dropped at the next start, the second ends the start.
package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"kitefall/internal/failpoint"
)

// DefaultSegment is the usual size of a segment, in bytes.
const DefaultSegment = 8 << 20

// Errors of a log.
var (
	ErrDamaged        = errors.New("the log is damaged")
	ErrVersion        = errors.New("the log is of another version")
	ErrRecordTooLarge = errors.New("a record is larger than a segment")
)

// File is what a log needs of a file.
type File interface {
	io.WriterAt
	io.Closer
	Sync() error // the data is on the disk
}

// FS is what a log needs of a file system. Tests put one in place that fails.
type FS interface {
	Create(path string) (File, error) // a new file; it fails if there is one
	Open(path string) (File, error)   // an existing one, to be written
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(path string) error
}

// Disk is the file system of the machine.
type Disk struct{}

type diskFile struct{ *os.File }

// Sync needs neither the times nor, since segments do not grow, the size of the file to reach the disk.
func (f diskFile) Sync() error { return syscall.Fdatasync(int(f.Fd())) }

// Create makes a file.
func (Disk) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	return diskFile{f}, err
}

// Open opens a file to be written.
func (Disk) Open(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_RDWR, 0o600)
	return diskFile{f}, err
}

// Rename renames a file.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (Disk) Remove(path string) error { return os.Remove(path) }

// SyncDir has the names in a directory reach the disk.
func (Disk) SyncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Log is an open log. Its zero value is not usable: see Open.
type Log struct {
	fs   FS
	dir  string
	size uint32

	file  File
	first uint64 // of the segment in use
	next  uint64 // sequence of the next record
	end   int64  // where the next record goes
	spent bool   // a write to it failed: nobody knows what stands there
	old   []uint64
	buf   []byte
}

const suffix = ".log"

func name(dir string, first uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%016x%s", first, suffix))
}

// Segments are the first sequences of the segments in a directory, in order.
func Segments(dir string) ([]uint64, error) {
	entries, err := os.ReadDir(dir)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	var all []uint64
	for _, e := range entries {
		if text, ok := strings.CutSuffix(e.Name(), suffix); ok {
			first, bad := strconv.ParseUint(text, 16, 64)
			if bad != nil {
				return nil, fmt.Errorf("%w: %s is no segment's name", ErrDamaged, e.Name())
			}
			all = append(all, first)
		}
	}
	slices.Sort(all)
	return all, err
}

// Replay reads all records of the directory in order and changes nothing. It returns the sequence after the last
// and the place where the last segment's records end. Records up to and including after may be gone: what they
// did is kept elsewhere; everything later has to be there.
func Replay(dir string, after uint64, each func(sequence uint64, payload []byte) error) (next uint64, end int64, err error) {
	all, err := Segments(dir)
	if err != nil || len(all) == 0 {
		return after + 1, 0, err
	}
	heads, files := make([]head, len(all)), make([][]byte, len(all))
	for i, first := range all {
		path := name(dir, first)
		if files[i], err = os.ReadFile(path); err != nil {
			return 0, 0, err
		}
		h, v, ok := decodeHead(files[i])
		switch {
		case ok && v != version:
			return 0, 0, fmt.Errorf("%w: %s has version %d, this program reads %d", ErrVersion, path, v, version)
		case !ok || h.first != first:
			return 0, 0, fmt.Errorf("%w: %s has no valid head", ErrDamaged, path)
		case int(h.size) != len(files[i]): // a segment never changes its size
			return 0, 0, fmt.Errorf("%w: %s has %d bytes and was made with %d", ErrDamaged, path, len(files[i]), h.size)
		}
		heads[i] = h
	}
	next = all[0]
	if next > after+1 {
		return 0, 0, fmt.Errorf("%w: records %d to %d are missing", ErrDamaged, after+1, next-1)
	}
	for i, h := range heads {
		limit := int64(len(files[i]))
		if last := i == len(heads)-1; !last {
			if heads[i+1].previous != h.first || int64(heads[i+1].end) > limit {
				return 0, 0, fmt.Errorf("%w: %s does not follow %s", ErrDamaged, name(dir, all[i+1]), name(dir, all[i]))
			}
			limit = int64(heads[i+1].end)
		}
		if h.first != next {
			return 0, 0, fmt.Errorf("%w: records %d to %d are missing", ErrDamaged, next, h.first-1)
		}
		end = headSize
		for end < limit {
			payload, sequence, v := readRecord(files[i][end:limit], end)
			if v == none || v == torn && i == len(heads)-1 {
				break
			}
			if v != whole || sequence != next {
				return 0, 0, fmt.Errorf("%w: %s, byte %d: record %d cannot be read", ErrDamaged, name(dir, h.first), end, next)
			}
			if sequence > after {
				if err := each(sequence, payload); err != nil {
					return 0, 0, err
				}
			}
			next++
			end += int64(recordHead + len(payload) + recordTail)
		}
		if i < len(heads)-1 && end != limit {
			return 0, 0, fmt.Errorf("%w: %s ends at byte %d and not at %d", ErrDamaged, name(dir, h.first), end, limit)
		}
	}
	return next, end, nil
}

// Open begins a log whose next record has the sequence next, after Replay. It starts a segment of its own: what a
// torn record may have left in the one before is never written over, and its end is put on record.
func Open(fs FS, dir string, size uint32, next uint64, end int64) (*Log, error) {
	all, err := Segments(dir)
	if err != nil {
		return nil, err
	}
	l := &Log{fs: fs, dir: dir, size: size, next: next, end: end}
	if len(all) > 0 {
		l.first, l.old = all[len(all)-1], all[:len(all)-1]
	}
	if l.first == next { // the last run wrote nothing into it
		if l.file, err = fs.Open(name(dir, next)); err != nil {
			return nil, err
		}
		var clean []byte
		if clean, err = os.ReadFile(name(dir, next)); err != nil || !zero(clean[headSize:]) {
			// A torn first record: the segment's name is taken, so its place is cleared before it is used again.
			err = errors.Join(err, l.fill(l.file, headSize))
		}
		l.end = headSize
		return l, err
	}
	return l, l.Rotate()
}

// fill writes zeros from a place to the end of the segment.
func (l *Log) fill(f File, from int64) error {
	blank := make([]byte, 256<<10)
	for at := from; at < int64(l.size); at += int64(len(blank)) {
		if _, err := f.WriteAt(blank[:min(int64(len(blank)), int64(l.size)-at)], at); err != nil {
			return err
		}
	}
	return f.Sync()
}

// Next is the sequence of the next record.
func (l *Log) Next() uint64 { return l.next }

// Rotate starts a new segment. If it fails, nothing has changed.
func (l *Log) Rotate() error {
	if l.file != nil && l.next == l.first && !l.spent {
		return nil // it is empty still
	}
	tmp := filepath.Join(l.dir, "new.tmp")
	if err := l.fs.Remove(tmp); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	first := l.next
	if first == l.first { // the first record of the segment failed; a sequence left out would read as a loss
		return l.remake()
	}
	f, err := l.fs.Create(tmp)
	if err != nil {
		return err
	}
	err = l.write(f, head{size: l.size, first: first, previous: l.first, end: uint32(l.end)})
	if err == nil {
		err = l.fs.Rename(tmp, name(l.dir, first))
	}
	if err == nil {
		err = l.fs.SyncDir(l.dir)
	}
	if err != nil {
		f.Close()
		l.fs.Remove(tmp)
		return err
	}
	if l.file != nil {
		l.file.Close()
	}
	if l.first != 0 {
		l.old = append(l.old, l.first)
	}
	l.file, l.first, l.end, l.spent = f, first, headSize, false
	return nil
}

// remake clears a segment whose first record failed.
func (l *Log) remake() error {
	if err := l.fill(l.file, headSize); err != nil {
		return err
	}
	l.end, l.spent = headSize, false
	return nil
}

func (l *Log) write(f File, h head) error {
	if err := l.fill(f, 0); err != nil { // the disk has room for all of it, or the segment is not used
		return err
	}
	if _, err := f.WriteAt(h.encode(), 0); err != nil {
		return err
	}
	return f.Sync()
}

// Append puts a record on the disk. After an error the record does not count: it will not be replayed once a later
// Append has succeeded.
func (l *Log) Append(payload []byte) error {
	n := int64(recordHead + len(payload) + recordTail)
	if n > int64(l.size)-headSize || len(payload) == 0 {
		return fmt.Errorf("%w: %d bytes", ErrRecordTooLarge, len(payload))
	}
	if l.spent || l.end+n > int64(l.size) {
		if err := l.Rotate(); err != nil {
			return err
		}
	}
	l.buf = appendRecord(l.buf[:0], l.next, payload)
	failpoint.Hit("log-before-write")
	if _, err := l.file.WriteAt(l.buf, l.end); err != nil {
		l.spent = true // part of it may stand there: the next segment says that this one ends before it
		return err
	}
	failpoint.Hit("log-before-sync")
	if err := l.file.Sync(); err != nil {
		l.spent = true // after a failed sync nobody knows what the disk holds
		return err
	}
	failpoint.Hit("log-after-sync")
	l.next++
	l.end += n
	return nil
}

// Release removes segments that hold only records up to and including a sequence.
func (l *Log) Release(upTo uint64) error {
	for len(l.old) > 0 {
		after := l.first
		if len(l.old) > 1 {
			after = l.old[1]
		}
		if after > upTo+1 {
			return nil
		}
		if err := l.fs.Remove(name(l.dir, l.old[0])); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		l.old = l.old[1:]
	}
	return nil
}

// Close closes the segment in use.
func (l *Log) Close() error { return l.file.Close() }
