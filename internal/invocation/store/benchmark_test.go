package store

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kitefall/internal/invocation"
)

// BenchmarkLifecycles measures how many deferred invocations a second the store takes through the state machine, with 64 at
// once: created, submitted, started and served.
func BenchmarkLifecycles(b *testing.B) {
	s, _ := openNew(b, Options{})
	numbers := make(chan int, b.N)
	for i := range b.N {
		numbers <- i
	}
	close(numbers)
	var workers sync.WaitGroup
	b.ResetTimer()
	for range 64 {
		workers.Go(func() {
			for i := range numbers {
				id := fmt.Sprintf("%026d", i*7919%1000003)
				create(b, s, id, newRequest(id))
				apply(b, s, id, submit, start, served)
			}
		})
	}
	workers.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lives/s")
}

// BenchmarkOneReserva measures the time that the store adds to a non-idempotent foreground invocation of a single
// client, for which the start and the outcome are stored. For comparison, the same run measures two writes of as many
// bytes (bareRecordSize each) to a plain file, each with a sync.
func BenchmarkOneReserva(b *testing.B) {
	s, path := openNew(b, Options{})
	bare := newBareFile(b, filepath.Join(filepath.Dir(path), "bare"))
	var storeTime, bareTime time.Duration
	for i := range b.N {
		request := newRequest(fmt.Sprint("k", i))
		request.Deferred = false
		inv := invocation.New(fmt.Sprintf("%026d", i), request, noon)

		begin := time.Now()
		_, _, err := invocation.Step(inv, start, noon)
		require.NoError(b, err)
		_, err = s.Create(inv, nil, noon)
		require.NoError(b, err)
		_, _, err = s.Apply(inv.ID, served, []byte("booked"), noon)
		require.NoError(b, err)
		storeTime += time.Since(begin)

		begin = time.Now()
		bare.write(b, 2*i)
		bare.write(b, 2*i+1)
		bareTime += time.Since(begin)
	}
	b.ReportMetric(float64(storeTime.Microseconds())/float64(b.N), "us/reserva")
	b.ReportMetric(float64(bareTime.Microseconds())/float64(b.N), "us/bare")
	b.ReportMetric(float64(storeTime)/float64(bareTime), "times-bare")
}

const (
	bareFileSize   = 8 << 20
	bareRecordSize = 400
	bareRecords    = 10000 // number of positions in the file that are written in turn
)

// bareFile is a preallocated plain file, to measure writes without the store.
type bareFile struct{ *os.File }

func newBareFile(b *testing.B, path string) bareFile {
	b.Helper()
	file, err := os.Create(path)
	require.NoError(b, err)
	b.Cleanup(func() { file.Close() })
	_, err = file.Write(make([]byte, bareFileSize))
	require.NoError(b, err)
	require.NoError(b, file.Sync())
	return bareFile{file}
}

// write writes the record with a number, modulo bareRecords, and syncs it.
func (f bareFile) write(b *testing.B, number int) {
	b.Helper()
	offset := int64(number % bareRecords * bareRecordSize)
	_, err := f.WriteAt(make([]byte, bareRecordSize), offset)
	require.NoError(b, err)
	require.NoError(b, syscall.Fdatasync(int(f.Fd())))
}
