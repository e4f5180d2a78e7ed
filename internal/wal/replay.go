package wal

import "fmt"

// Visitor processes a record of a log. It must not change the payload.
type Visitor func(sequence uint64, payload []byte) error

// Replay reads all records of the log in dir in order and changes no file. It calls visit for each record whose sequence
// is greater than after. Records up to that sequence may have been removed, but all later ones must exist.
//
// Replay returns the sequence of the next record and the offset at which the records of the last segment end. It returns
// an error that wraps ErrDamaged or ErrVersion if the log cannot be read, and any error of visit. A last record whose
// write was interrupted is skipped.
func Replay(dir string, after uint64, visit Visitor) (nextSequence uint64, end int64, err error) {
	firstSequences, err := Segments(dir)
	if err != nil || len(firstSequences) == 0 {
		return after + 1, 0, err
	}
	segments := make([]segment, len(firstSequences))
	for i, firstSequence := range firstSequences {
		if segments[i], err = readSegment(dir, firstSequence); err != nil {
			return 0, 0, err
		}
	}
	if firstSequences[0] > after+1 {
		return 0, 0, missingRecordsError(after+1, firstSequences[0])
	}
	r := replayer{after: after, nextSequence: firstSequences[0], visit: visit}
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
	return r.nextSequence, end, nil
}

func missingRecordsError(firstMissing, nextPresent uint64) error {
	return fmt.Errorf("%w: records %d to %d are missing", ErrDamaged, firstMissing, nextPresent-1)
}

// replayer replays the segments of a log one after another.
type replayer struct {
	after        uint64 // records up to this sequence are not visited
	nextSequence uint64 // sequence of the next record
	visit        Visitor
}

// replayCompleted replays a segment that has a successor. The header of the successor stores where the records of the
// segment end.
func (r *replayer) replayCompleted(s, successor segment) error {
	limit := int64(successor.header.previousEnd)
	if successor.header.previousFirst != s.header.firstSequence || limit > int64(len(s.content)) {
		return fmt.Errorf("%w: %s does not follow %s", ErrDamaged, successor.path, s.path)
	}
	end, status, err := r.replayRecords(s, limit)
	switch {
	case err != nil:
		return err
	case status == torn:
		return r.unreadableRecordError(s, end)
	case end != limit:
		return fmt.Errorf("%w: the records of %s end at byte %d instead of byte %d", ErrDamaged, s.path, end, limit)
	}
	return nil
}

// replayLast replays the last segment, whose last record may be torn. It returns the offset at which its records end.
func (r *replayer) replayLast(s segment) (end int64, err error) {
	end, _, err = r.replayRecords(s, int64(len(s.content)))
	return end, err
}

// replayRecords replays the records of a segment until it reaches the offset limit, the end of the records or a torn
// record. It returns the offset at which it stopped, and what it found there; the status is intact at the limit.
func (r *replayer) replayRecords(s segment, limit int64) (end int64, status recordStatus, err error) {
	if s.header.firstSequence != r.nextSequence {
		return 0, damaged, missingRecordsError(r.nextSequence, s.header.firstSequence)
	}
	end = headerSize
	for end < limit {
		found, status := readRecord(s.content[end:limit], end)
		if status == endOfRecords || status == torn {
			return end, status, nil
		}
		if status != intact || found.sequence != r.nextSequence {
			return end, damaged, r.unreadableRecordError(s, end)
		}
		if found.sequence > r.after {
			if err := r.visit(found.sequence, found.payload); err != nil {
				return end, intact, err
			}
		}
		r.nextSequence++
		end += int64(recordSize(len(found.payload)))
	}
	return end, intact, nil
}

func (r *replayer) unreadableRecordError(s segment, offset int64) error {
	return fmt.Errorf("%w: %s, byte %d: record %d cannot be read", ErrDamaged, s.path, offset, r.nextSequence)
}
