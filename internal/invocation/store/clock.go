package store

import (
	"encoding/binary"
	"time"

	"kitefall/internal/durable"
	"kitefall/internal/monotonic"
)

// StartClock returns the clock for all times in the store, for a run of the program that starts now. The clock
// continues from the previous run of the program: by the machine's uptime if the machine was not rebooted since then,
// and otherwise by the wall clock. It never goes back. A wall clock that was set between two runs therefore neither
// expires nor delays invocations, unless the machine was rebooted.
func (s *Store) StartClock(wall time.Time, uptime monotonic.Uptime) (*monotonic.Clock, error) {
	var begin time.Time
	err := s.update(func(tx *durable.Tx) error {
		begin = clockStart(tx, wall, uptime)
		tx.Put(clockBucket, latestTimeKey, encodeTime(begin))
		tx.Put(clockBucket, startKey, encodeStart(begin, uptime))
		return nil
	})
	if err != nil {
		return nil, storageError(err)
	}
	return monotonic.Start(begin), nil
}

// clockStart returns the time at which the clock starts in this run of the program.
func clockStart(tx *durable.Tx, wall time.Time, uptime monotonic.Uptime) time.Time {
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

// AdvanceClock stores now as the latest known time, unless a later one is stored already, and returns the stored time. It
// keeps the clock from going back when the program restarts.
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

// encodeStart returns the record of a start of the program: the clock's time and the uptime (8 bytes each), then the
// boot ID.
func encodeStart(begin time.Time, uptime monotonic.Uptime) []byte {
	record := encodeTime(begin)
	record = binary.BigEndian.AppendUint64(record, uint64(uptime.Elapsed))
	return append(record, uptime.BootID...)
}

// decodeStart decodes the record of a start of the program. known is false if there is no such record.
func decodeStart(record []byte) (begin time.Time, uptime monotonic.Uptime, known bool) {
	if len(record) < startLength {
		return time.Time{}, monotonic.Uptime{}, false
	}
	uptime.Elapsed = time.Duration(binary.BigEndian.Uint64(record[timeLength:]))
	uptime.BootID = string(record[startLength:])
	return decodeTime(record), uptime, true
}
