package wal

import "fmt"

// Visitor takes a record of a log. The payload must not be changed.
type Visitor func(sequence uint64, payload []byte) error

// Replay reads all records in a directory in order and changes nothing. It calls visit for each record whose sequence
// is greater than after; the records up to there need not exist any more, but all later ones must.
//
// It returns the sequence of the next record and where the records of the last segment end. It returns ErrDamaged or
// ErrVersion, wrapped, if the log cannot be read, and any error of visit. A last record whose write did not end is
// left out.
func Replay(dir string, after uint64, visit Visitor) (next uint64, end int64, err error) {
	firsts, err := Segments(dir)
	if err != nil || len(firsts) == 0 {
		return after + 1, 0, err
	}
	segments := make([]segment, len(firsts))
	for i, first := range firsts {
		if segments[i], err = readSegment(dir, first); err != nil {
			return 0, 0, err
		}
	}
	if firsts[0] > after+1 {
		return 0, 0, missingRecordsError(after+1, firsts[0])
	}
	r := replayer{after: after, next: firsts[0], visit: visit}
	last := len(segments) - 1
	for i, s := range segments[:last] {
		if err := r.replayCompleted(s, segments[i+1]); err != nil {
			return 0, 0, err
		}
	}
	end, err = r.replayLast(segments[last])
	if err != nil {
		return 0, 0, err
	}
	return r.next, end, nil
}

func missingRecordsError(first, next uint64) error {
	return fmt.Errorf("%w: records %d to %d are missing", ErrDamaged, first, next-1)
}

// replayer reads segments one after another.
type replayer struct {
	after uint64 // records up to this sequence are not visited
	next  uint64 // sequence of the next record
	visit Visitor
}

// replayCompleted reads a segment that has a successor, which says where its records end.
func (r *replayer) replayCompleted(s, successor segment) error {
	limit := int64(successor.header.previousEnd)
	if successor.header.previous != s.header.first || limit > int64(len(s.content)) {
		return fmt.Errorf("%w: %s does not follow %s", ErrDamaged, successor.path, s.path)
	}
	end, status, err := r.replayRecords(s, limit)
	switch {
	case err != nil:
		return err
	case status == torn:
		return r.unreadableRecordError(s, end)
	case end != limit:
		return fmt.Errorf("%w: %s ends at byte %d and not at %d", ErrDamaged, s.path, end, limit)
	}
	return nil
}

// replayLast reads the last segment, whose last record may be torn, and returns where its records end.
func (r *replayer) replayLast(s segment) (end int64, err error) {
	end, _, err = r.replayRecords(s, int64(len(s.content)))
	return end, err
}

// replayRecords reads the records of a segment up to a limit, the end of the records or a torn one. It returns where
// it stopped and what it found there; intact: the limit.
func (r *replayer) replayRecords(s segment, limit int64) (end int64, status recordStatus, err error) {
	if s.header.first != r.next {
		return 0, damaged, missingRecordsError(r.next, s.header.first)
	}
	end = headerSize
	for end < limit {
		found, status := readRecord(s.content[end:limit], end)
		if status == endOfRecords || status == torn {
			return end, status, nil
		}
		if status != intact || found.sequence != r.next {
			return end, damaged, r.unreadableRecordError(s, end)
		}
		if found.sequence > r.after {
			if err := r.visit(found.sequence, found.payload); err != nil {
				return end, intact, err
			}
		}
		r.next++
		end += int64(recordSize(len(found.payload)))
	}
	return end, intact, nil
}

func (r *replayer) unreadableRecordError(s segment, offset int64) error {
	return fmt.Errorf("%w: %s, byte %d: record %d cannot be read", ErrDamaged, s.path, offset, r.next)
}
