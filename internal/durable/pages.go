package durable

import (
	"sync"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"
)

const (
	// releaseInterval is the interval at which the checkpointer releases the mapped pages of the file.
	releaseInterval = 50 * time.Millisecond

	// releaseIntervalOnOpen is the interval at which Open releases the pages while it reads the whole file.
	releaseIntervalOnOpen = 2 * time.Millisecond
)

// releasePages returns the memory of mapped file pages to the operating system. bbolt maps the file, and each page that
// was read counts as memory of the process until the system reclaims it. A page that is read again is loaded again.
func (db *DB) releasePages() {
	db.file.View(func(tx *bolt.Tx) error { // bbolt does not change the mapping during a read transaction
		address, size := db.mappedPages(tx)
		if size > 0 {
			// madvise is only advice to the system. If the call fails, the pages stay in memory.
			syscall.Syscall(syscall.SYS_MADVISE, address, size, syscall.MADV_DONTNEED)
		}
		return nil
	})
}

// mappedPages returns the address and the size in bytes of the mapped pages that are in use. It does not use the size of
// the file: bbolt grows the file in large steps, so the file may be longer than its mapping, and the memory after the
// mapping belongs to other parts of the program.
func (db *DB) mappedPages(tx *bolt.Tx) (address, size uintptr) {
	return db.file.Info().Data, uintptr(tx.Size())
}

// releasePagesRepeatedly releases pages on a goroutine, every releaseIntervalOnOpen, until stop is called. stop waits for
// the goroutine to end.
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
