// Package wal is a write-ahead log. Records are appended to segment files, and each record is on the disk when Append
// returns. Each record has a sequence: its number, counted from 1. The package does not interpret payloads.
//
// Segments are filled with zeros before their first use, for three reasons: a full disk is detected when a segment is
// created, never in the middle of a record; a sync need not change the size of the file; and a record whose write was
// interrupted can be distinguished from one that was damaged later. Replay skips the former and fails at the latter.
package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"kitefall/internal/failpoint"
)

// DefaultSegmentSize is the default size of a segment, in bytes.
const DefaultSegmentSize = 8 << 20

// Errors that this package returns, wrapped.
var (
	ErrDamaged           = errors.New("the log is damaged")
	ErrVersion           = errors.New("the version of the log is not supported")
	ErrInvalidRecordSize = errors.New("a record is empty or larger than a segment")
)

// Log is a log that is open for writing; Open returns one. It is not safe for concurrent use.
type Log struct {
	fs          FS
	dir         string
	segmentSize uint32

	file          File     // active segment
	firstSequence uint64   // sequence of the first record of the active segment
	end           int64    // offset of the next record in the active segment
	writeFailed   bool     // a write or sync at end failed, so the bytes there are unknown
	nextSequence  uint64   // sequence of the next record
	completed     []uint64 // first sequences of the segments before the active one
	buffer        []byte   // reused to encode records
}

// Open opens the log in dir for writing. It takes the results of Replay: the sequence of the next record, and the offset
// end at which the records of the last segment end.
//
// Open starts a new segment, whose header stores end, so bytes that an interrupted write may have left after end are
// never overwritten. Open reuses the last segment only if that segment has no records.
func Open(fs FS, dir string, segmentSize uint32, nextSequence uint64, end int64) (*Log, error) {
	firstSequences, err := Segments(dir)
	if err != nil {
		return nil, err
	}
	l := &Log{fs: fs, dir: dir, segmentSize: segmentSize, nextSequence: nextSequence, end: end}
	if last := len(firstSequences) - 1; last >= 0 {
		l.firstSequence = firstSequences[last]
		l.completed = firstSequences[:last]
	}
	if l.firstSequence == nextSequence {
		err = l.reuseSegment()
	} else {
		err = l.Rotate()
	}
	if err != nil {
		return nil, err
	}
	return l, nil
}

// reuseSegment opens the last segment, which has no intact record, as the active one.
func (l *Log) reuseSegment() error {
	path := segmentPath(l.dir, l.firstSequence)
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

// NextSequence returns the sequence of the next record.
func (l *Log) NextSequence() uint64 { return l.nextSequence }

const temporaryFileName = "new.tmp"

// Rotate starts a new segment, unless the active one has no records. If a write to an active segment without records
// failed, Rotate clears that segment. If Rotate returns an error, the active segment stays in use as before.
func (l *Log) Rotate() error {
	empty := l.file != nil && l.nextSequence == l.firstSequence
	if empty && !l.writeFailed {
		return nil
	}
	temporaryPath := filepath.Join(l.dir, temporaryFileName)
	if err := l.remove(temporaryPath); err != nil {
		return err
	}
	if empty { // a segment with another first sequence would look like lost records to Replay
		return l.clearSegment()
	}
	file, err := l.createSegment(temporaryPath)
	if err != nil {
		return err
	}
	if l.file != nil {
		l.file.Close()
	}
	if l.firstSequence != 0 {
		l.completed = append(l.completed, l.firstSequence)
	}
	l.file = file
	l.firstSequence = l.nextSequence
	l.end = headerSize
	l.writeFailed = false
	return nil
}

// clearSegment overwrites the active segment after its header with zeros, as the write of its first record failed.
func (l *Log) clearSegment() error {
	if err := l.fillWithZeros(l.file, headerSize); err != nil {
		return err
	}
	l.end = headerSize
	l.writeFailed = false
	return nil
}

// createSegment creates the segment that begins with the next record, at temporaryPath, and renames it when it is ready.
func (l *Log) createSegment(temporaryPath string) (File, error) {
	file, err := l.fs.Create(temporaryPath)
	if err != nil {
		return nil, err
	}
	header := segmentHeader{
		size:          l.segmentSize,
		firstSequence: l.nextSequence,
		previousFirst: l.firstSequence,
		previousEnd:   uint32(l.end),
	}
	err = l.initializeSegment(file, header)
	if err == nil {
		err = l.fs.Rename(temporaryPath, segmentPath(l.dir, header.firstSequence))
	}
	if err == nil {
		err = l.fs.SyncDir(l.dir)
	}
	if err != nil {
		file.Close()
		l.fs.Remove(temporaryPath)
		return nil, err
	}
	return file, nil
}

// initializeSegment fills a segment with zeros, which reserves its space on the disk, and writes its header.
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

// fillWithZeros writes zeros from an offset to the end of a segment and syncs the file.
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

// Append writes a record to the disk. A record whose Append returned an error is not part of the log: Replay does not
// visit it once a later Append has succeeded. Append returns an error that wraps ErrInvalidRecordSize if the payload is
// empty or does not fit in a segment.
func (l *Log) Append(payload []byte) error {
	size := int64(recordSize(len(payload)))
	if len(payload) == 0 || size > int64(l.segmentSize)-headerSize {
		return fmt.Errorf("%w: %d bytes of payload", ErrInvalidRecordSize, len(payload))
	}
	if l.writeFailed || l.end+size > int64(l.segmentSize) {
		if err := l.Rotate(); err != nil {
			return err
		}
	}
	l.buffer = appendRecord(l.buffer[:0], l.nextSequence, payload)
	failpoint.Hit("log-before-write")
	if _, err := l.file.WriteAt(l.buffer, l.end); err != nil {
		l.writeFailed = true // part of the record may be written: the header of the next segment excludes it
		return err
	}
	failpoint.Hit("log-before-sync")
	if err := l.file.Sync(); err != nil {
		l.writeFailed = true // after a failed sync, it is unknown what is on the disk
		return err
	}
	failpoint.Hit("log-after-sync")
	l.nextSequence++
	l.end += size
	return nil
}

// Release removes the segments whose records all have a sequence of at most upTo. It never removes the active segment.
func (l *Log) Release(upTo uint64) error {
	for len(l.completed) > 0 {
		successor := l.firstSequence
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

// Close closes the file of the active segment.
func (l *Log) Close() error { return l.file.Close() }
