// Package wal is a write-ahead log: records that are appended to segments, each on the disk when Append returns. It
// does not know what the records hold.
//
// Segments are filled with zeros before their first use. So a full disk shows when a segment is made and never in the
// middle of a record, a sync need not change the size of the file, and a record whose write was interrupted can be told
// from one that was damaged later: Replay leaves out the first and fails at the second.
package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

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

// Log is an open log; Open returns one. It is not safe for concurrent use.
type Log struct {
	fs          FS
	dir         string
	segmentSize uint32

	file        File     // active segment
	first       uint64   // sequence of its first record
	end         int64    // offset of its next record
	writeFailed bool     // it is unknown what stands at that offset
	next        uint64   // sequence of the next record
	completed   []uint64 // first sequences of the segments before the active one
	buffer      []byte   // one record
}

// Open opens the log in a directory for writing, after Replay: next is the sequence of the next record, end where the
// records of the last segment end.
//
// It starts a new segment, whose header records that end: what an interrupted write may have left behind it is never
// written over. Only a segment without records is used again.
func Open(fs FS, dir string, segmentSize uint32, next uint64, end int64) (*Log, error) {
	firsts, err := Segments(dir)
	if err != nil {
		return nil, err
	}
	l := &Log{fs: fs, dir: dir, segmentSize: segmentSize, next: next, end: end}
	if last := len(firsts) - 1; last >= 0 {
		l.first = firsts[last]
		l.completed = firsts[:last]
	}
	if l.first == next {
		err = l.reuseSegment()
	} else {
		err = l.Rotate()
	}
	if err != nil {
		return nil, err
	}
	return l, nil
}

// reuseSegment opens the last segment, which has no intact record.
func (l *Log) reuseSegment() error {
	path := segmentPath(l.dir, l.first)
	file, err := l.fs.Open(path)
	if err != nil {
		return err
	}
	l.file = file
	l.end = headerSize
	content, err := os.ReadFile(path)
	if err == nil && !isZero(content[headerSize:]) { // a torn record
		err = l.fillWithZeros(file, headerSize)
	}
	if err != nil {
		file.Close()
	}
	return err
}

// Next returns the sequence of the next record.
func (l *Log) Next() uint64 { return l.next }

const temporaryName = "new.tmp"

// Rotate starts a new segment, unless the active one is empty. If it fails, nothing has changed.
func (l *Log) Rotate() error {
	empty := l.file != nil && l.next == l.first
	if empty && !l.writeFailed {
		return nil
	}
	temporary := filepath.Join(l.dir, temporaryName)
	if err := l.remove(temporary); err != nil {
		return err
	}
	if empty { // a segment with another first sequence would read as a loss of records
		return l.clearSegment()
	}
	file, err := l.createSegment(temporary)
	if err != nil {
		return err
	}
	if l.file != nil {
		l.file.Close()
	}
	if l.first != 0 {
		l.completed = append(l.completed, l.first)
	}
	l.file = file
	l.first = l.next
	l.end = headerSize
	l.writeFailed = false
	return nil
}

// clearSegment clears the active segment, whose first record failed.
func (l *Log) clearSegment() error {
	if err := l.fillWithZeros(l.file, headerSize); err != nil {
		return err
	}
	l.end = headerSize
	l.writeFailed = false
	return nil
}

// createSegment makes the segment that begins with the next record, under a temporary path first.
func (l *Log) createSegment(temporary string) (File, error) {
	file, err := l.fs.Create(temporary)
	if err != nil {
		return nil, err
	}
	header := segmentHeader{size: l.segmentSize, first: l.next, previous: l.first, previousEnd: uint32(l.end)}
	err = l.initializeSegment(file, header)
	if err == nil {
		err = l.fs.Rename(temporary, segmentPath(l.dir, header.first))
	}
	if err == nil {
		err = l.fs.SyncDir(l.dir)
	}
	if err != nil {
		file.Close()
		l.fs.Remove(temporary)
		return nil, err
	}
	return file, nil
}

// initializeSegment reserves the space of a segment on the disk and writes its header.
func (l *Log) initializeSegment(file File, header segmentHeader) error {
	if err := l.fillWithZeros(file, 0); err != nil {
		return err
	}
	if _, err := file.WriteAt(header.encode(), 0); err != nil {
		return err
	}
	return file.Sync()
}

const zerosPerWrite = 256 << 10

// fillWithZeros writes zeros from an offset to the end of a segment.
func (l *Log) fillWithZeros(file File, from int64) error {
	zeros := make([]byte, zerosPerWrite)
	end := int64(l.segmentSize)
	for from < end {
		size := min(zerosPerWrite, end-from)
		if _, err := file.WriteAt(zeros[:size], from); err != nil {
			return err
		}
		from += size
	}
	return file.Sync()
}

// Append writes a record to the disk. After an error the record does not count: it is not replayed once a later Append
// has succeeded. It returns ErrRecordTooLarge, wrapped, for a payload that is empty or does not fit in a segment.
func (l *Log) Append(payload []byte) error {
	size := int64(recordSize(len(payload)))
	if len(payload) == 0 || size > int64(l.segmentSize)-headerSize {
		return fmt.Errorf("%w: %d bytes", ErrRecordTooLarge, len(payload))
	}
	if l.writeFailed || l.end+size > int64(l.segmentSize) {
		if err := l.Rotate(); err != nil {
			return err
		}
	}
	l.buffer = appendRecord(l.buffer[:0], l.next, payload)
	failpoint.Hit("log-before-write")
	if _, err := l.file.WriteAt(l.buffer, l.end); err != nil {
		l.writeFailed = true // it may be there in part: the next segment says that this one ends before it
		return err
	}
	failpoint.Hit("log-before-sync")
	if err := l.file.Sync(); err != nil {
		l.writeFailed = true // it is unknown what a failed sync has written
		return err
	}
	failpoint.Hit("log-after-sync")
	l.next++
	l.end += size
	return nil
}

// Release removes the segments whose records all have a sequence up to upTo. The active segment stays.
func (l *Log) Release(upTo uint64) error {
	for len(l.completed) > 0 {
		successor := l.first
		if len(l.completed) > 1 {
			successor = l.completed[1]
		}
		if successor > upTo+1 {
			return nil
		}
		if err := l.remove(segmentPath(l.dir, l.completed[0])); err != nil {
			return err
		}
		l.completed = l.completed[1:]
	}
	return nil
}

// remove removes a file, if it exists.
func (l *Log) remove(path string) error {
	err := l.fs.Remove(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}

// Close closes the active segment.
func (l *Log) Close() error { return l.file.Close() }
