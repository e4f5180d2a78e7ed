package durable

import (
	"sync"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"
)

const (
	// releaseInterval is how often pages of the file are released.
	releaseInterval = 50 * time.Millisecond

	// releaseIntervalOnOpen is that interval while Open reads the whole file.
	releaseIntervalOnOpen = 2 * time.Millisecond
)

// releasePages gives the pages of the file that were read back to the system. bbolt maps the file, and each page that
// was read counts as memory of the process until the system needs it. A page that is read again is mapped again.
func (db *DB) releasePages() {
	db.file.View(func(tx *bolt.Tx) error { // bbolt does not change the mapping during a transaction
		address, size := db.mappedPages(tx)
		if size > 0 {
			// This only advises the system. If the call fails, the pages stay.
			syscall.Syscall(syscall.SYS_MADVISE, address, size, syscall.MADV_DONTNEED)
		}
		return nil
	})
}

// mappedPages returns where the pages in use are mapped. The file may be longer than its mapping, since bbolt makes it
// grow in large steps; the memory behind the mapping belongs to the rest of the program.
func (db *DB) mappedPages(tx *bolt.Tx) (address, size uintptr) {
	return db.file.Info().Data, uintptr(tx.Size())
}

// releasePagesRepeatedly releases pages on a goroutine until stop is called, which waits for its end.
func (db *DB) releasePagesRepeatedly() (stop func()) {
	stopped := make(chan struct{})
	var goroutine sync.WaitGroup
	goroutine.Go(func() {
		ticker := time.NewTicker(releaseIntervalOnOpen)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				db.releasePages()
			case <-stopped:
				return
			}
		}
	})
	return func() {
		close(stopped)
		goroutine.Wait()
	}
}
