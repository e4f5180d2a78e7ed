package durable

import (
	"log/slog"
	"time"

	bolt "go.etcd.io/bbolt"

	"kitefall/internal/failpoint"
)

// freeze sets the present layer aside to be moved, unless one is on its way.
func (db *DB) freeze() {
	db.mu.Lock()
	defer db.mu.Unlock()
	if db.frozen != nil || db.active.keys.Len() == 0 {
		return
	}
	db.frozen, db.active = db.active, &layer{last: db.active.last}
	select {
	case db.move <- struct{}{}:
	default:
	}
}

// again is the pause before a move that failed is tried again.
const again = time.Second

func (db *DB) moveAll() {
	trim := time.NewTicker(trimEvery)
	defer trim.Stop()
	for {
		select {
		case <-trim.C:
			db.trim()
			continue
		case <-db.move:
		case t := <-db.tasks:
			t.done <- t.do()
			continue
		case <-db.closed:
			return
		}
		for {
			err := db.moveOne()
			db.mu.Lock()
			db.failing = err != nil
			db.mu.Unlock()
			select {
			case db.tried <- struct{}{}:
			default:
			}
			if err == nil {
				break
			}
			slog.Error("store: the log is not moved to the file yet", "path", db.path, "err", err)
			select {
			case <-time.After(again):
			case <-db.closed:
				return
			}
		}
	}
}

// moveOne writes the frozen layer to the file.
func (db *DB) moveOne() error {
	db.mu.RLock()
	f := db.frozen
	db.mu.RUnlock()
	if f == nil {
		return nil
	}
	failpoint.Hit("move-before")
	for from, more := "", true; more; {
		err := db.file.Update(func(tx *bolt.Tx) (err error) {
			from, more, err = db.movePart(tx, f, from)
			if err == nil && !more {
				err = tx.Bucket(meta).Put(appliedKey, bytesOf(f.last))
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	failpoint.Hit("move-after")
	db.mu.Lock()
	db.frozen, db.applied = nil, f.last
	db.mu.Unlock()
	return nil
}

// partMost is how many keys are moved in one transaction of bbolt, which holds a copy of every page that it touches.
const partMost = 4096

// movePart writes some of a layer, in order, and returns where to go on. That a layer is in the file in part does no
// harm: readers look at the layer first, and the next start moves all of it again.
func (db *DB) movePart(tx *bolt.Tx, f *layer, from string) (next string, more bool, err error) {
	n := 0
	f.keys.Ascend(from, func(k string, v []byte) bool {
		if n++; n > partMost {
			next, more = k, true
			return false
		}
		b := tx.Bucket(db.buckets[k[0]])
		if v == nil {
			err = b.Delete([]byte(k[1:]))
		} else {
			err = b.Put([]byte(k[1:]), seal(k[1:], v))
		}
		return err == nil
	})
	return next, more, err
}
