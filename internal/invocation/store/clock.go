package store

import (
	"encoding/binary"
	"time"

	"kitefall/internal/durable"
	"kitefall/internal/monotonic"
)

// StartClock returns the clock of the times in the store, for a run that starts now. Its times go on from those of the last
// run: by the machine's uptime, if it was not booted since, and else by the wall clock, but never back. A wall clock that
// was set between two runs therefore neither expires nor delays anything, unless the machine was booted.
func (s *Store) StartClock(wall time.Time, uptime monotonic.Uptime) (*monotonic.Clock, error) {
	var begin time.Time
	err := s.update(func(tx *durable.Tx) error {
		begin = startOfClock(tx, wall, uptime)
		tx.Put(clockBucket, latestTimeKey, encodeTime(begin))
		tx.Put(clockBucket, startKey, encodeStart(begin, uptime))
		return nil
	})
	if err != nil {
		return nil, storageError(err)
	}
	return monotonic.Start(begin), nil
}

// startOfClock returns the time at which the clock of a run starts.
func startOfClock(tx *durable.Tx, wall time.Time, uptime monotonic.Uptime) time.Time {
	begin := wall
	lastBegin, lastUptime, known := decodeStart(tx.Get(clockBucket, startKey))
	if elapsed, sameBoot := uptime.Since(lastUptime); known && sameBoot {
		begin = lastBegin.Add(elapsed)
	}
	if latest := tx.Get(clockBucket, latestTimeKey); len(latest) == timeLength && decodeTime(latest).After(begin) {
		begin = decodeTime(latest)
	}
	return begin
}

// AdvanceClock stores the latest time that the program has known and returns it, so that time does not go back over a
// restart.
func (s *Store) AdvanceClock(now time.Time) (latest time.Time, err error) {
	err = s.update(func(tx *durable.Tx) error {
		latest = now
		stored := tx.Get(clockBucket, latestTimeKey)
		if len(stored) == timeLength && decodeTime(stored).After(now) {
			latest = decodeTime(stored)
			return nil
		}
		tx.Put(clockBucket, latestTimeKey, encodeTime(now))
		return nil
	})
	return latest, storageError(err)
}

// encodeStart returns the record of a run's start: its time, the uptime then (8 bytes each) and the identity of the boot.
func encodeStart(begin time.Time, uptime monotonic.Uptime) []byte {
	record := encodeTime(begin)
	record = binary.BigEndian.AppendUint64(record, uint64(uptime.Elapsed))
	return append(record, uptime.BootID...)
}

// decodeStart reads the record of a run's start and reports whether there is one.
func decodeStart(record []byte) (begin time.Time, uptime monotonic.Uptime, known bool) {
	if len(record) < startLength {
		return time.Time{}, monotonic.Uptime{}, false
	}
	uptime.Elapsed = time.Duration(binary.BigEndian.Uint64(record[timeLength:]))
	uptime.BootID = string(record[startLength:])
	return decodeTime(record), uptime, true
}
