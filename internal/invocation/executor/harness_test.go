package executor

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kitefall/internal/call"
	"kitefall/internal/dispatch"
	"kitefall/internal/durable"
	"kitefall/internal/fakes"
	"kitefall/internal/invocation"
	"kitefall/internal/invocation/store"
	"kitefall/internal/monotonic"
	"kitefall/internal/schedule"
	"kitefall/internal/wal"
)

// The classes of the tests' requests: a reserva is not idempotent and must not run twice; a consulta is idempotent.
const (
	reserva  = "reserva"
	consulta = "consulta"
)

// fakeCatalog contains a function for every name except the removed ones.
type fakeCatalog struct{ removed map[string]bool }

func (c *fakeCatalog) Describe(name string) (Function, bool) {
	key := fmt.Sprintf("%016x", crc32.ChecksumIEEE([]byte(name)))
	return Function{Key: key, Cost: 1}, !c.removed[name]
}

func (c *fakeCatalog) Call(request *invocation.Request) (*call.Call, error) {
	function, ok := c.Describe(request.Function)
	if !ok {
		return nil, invocation.ErrNotFound
	}
	return &call.Call{
		Class:       request.Class,
		Tenant:      request.Tenant,
		Function:    function.Key,
		Concurrency: 4,
		LoadTime:    10 * time.Millisecond,
		Body:        request.Body,
	}, nil
}

// harness is an executor with its own dispatcher and store. It can be restarted on the same store.
type harness struct {
	t           *testing.T
	path        string
	core        *dispatch.Core
	submissions atomic.Int64 // calls submitted to the dispatcher
	executor    *Executor
	catalog     *fakeCatalog
	config      schedule.Config
	disk        *faultyDisk
	createdAt   time.Time
	quota       int64         // limit of stored invocations of a tenant; 0: none; takes effect at the next start
	clockOffset time.Duration // by how much the wall clock was set forward since createdAt; negative: back
}

// Submit counts a call and submits it to the dispatcher. It implements Core.
func (h *harness) Submit(submitted *call.Call) (*dispatch.Handle, error) {
	h.submissions.Add(1)
	return h.core.Submit(submitted)
}

func newHarness(t *testing.T, core *dispatch.Core) *harness {
	t.Helper()
	h := &harness{
		t:         t,
		path:      filepath.Join(t.TempDir(), "tickets.db"),
		core:      core,
		catalog:   &fakeCatalog{removed: map[string]bool{}},
		config:    schedule.Default(),
		disk:      &faultyDisk{},
		createdAt: time.Now(),
	}
	h.config.Classes = map[string]float64{reserva: 2, consulta: 1}
	h.config.Backoff = 20 * time.Millisecond
	h.config.MaxBackoff = 200 * time.Millisecond
	h.config.RetryRate = 100
	h.start()
	t.Cleanup(func() {
		h.core.Stop()
		h.executor.Close()
	})
	return h
}

// start opens the store and recovers its invocations.
func (h *harness) start() {
	h.t.Helper()
	s, err := store.Open(h.path, store.Options{
		Retention:      3 * time.Hour,
		MaxInvocations: 1 << 20,
		MaxPerTenant:   h.quota,
		Durable:        durable.Options{FS: h.disk, SegmentBytes: 256 << 10},
	})
	require.NoError(h.t, err)
	// Apart from clockOffset, the wall clock advances by the elapsed time. The empty uptime means that the machine was
	// rebooted between two starts, so that the store's clock follows the wall clock.
	begin := h.createdAt.Add(time.Since(h.createdAt))
	clock, err := s.StartClock(begin.Add(h.clockOffset), monotonic.Uptime{})
	require.NoError(h.t, err)
	h.executor, err = New(s, h, h.catalog, h.config, clock)
	require.NoError(h.t, err)
	require.NoError(h.t, h.executor.Recover())
}

// restart closes the executor and starts another one on the same store, with the given dispatcher.
func (h *harness) restart(core *dispatch.Core) {
	h.t.Helper()
	h.core.Stop()
	require.NoError(h.t, h.executor.Close())
	h.core = core
	h.start()
}

// newRequest returns a request of tenant a that expires in a minute.
func (h *harness) newRequest(class, body string) invocation.Request {
	return invocation.Request{
		Tenant:      "a",
		Function:    "f",
		Class:       class,
		Idempotent:  class == consulta,
		Urgency:     invocation.DefaultUrgency,
		Expires:     h.executor.clock.Now().Add(time.Minute),
		RunTimeout:  2 * time.Second,
		Body:        []byte(body),
		Fingerprint: []byte(body),
	}
}

// submit submits a deferred request and returns the ID of its invocation.
func (h *harness) submit(request invocation.Request) string {
	h.t.Helper()
	view, err := h.executor.Submit(request)
	require.NoError(h.t, err)
	return view.ID
}

// wait waits until an invocation has completed and returns it.
func (h *harness) wait(id string) View {
	h.t.Helper()
	ctx, cancel := context.WithDeadline(context.Background(), fakes.Deadline())
	defer cancel()
	view, err := h.executor.Wait(ctx, "a", id)
	require.NoError(h.t, err)
	return view
}

// current returns the current state of an invocation.
func (h *harness) current(id string) View {
	h.t.Helper()
	view, err := h.executor.Wait(cancelledContext, "a", id)
	require.NoError(h.t, err)
	return view
}

// stalled reports whether the scheduler considers the fleet stalled and starts only probe runs.
func (h *harness) stalled() bool {
	stalled := make(chan bool, 1)
	h.executor.feeder.enqueue(feederMessage{inspect: func(s *schedule.Scheduler) { stalled <- s.Stalled() }})
	return <-stalled
}

// scheduledCount returns the number of invocations that the scheduler holds, waiting and running.
func (h *harness) scheduledCount() int {
	count := make(chan int, 1)
	h.executor.feeder.enqueue(feederMessage{inspect: func(s *schedule.Scheduler) { count <- s.Running() + s.Waiting() }})
	return <-count
}

// faultyDisk is a disk on which writes to files fail with errDiskFull while full is set, and wait while it is held.
type faultyDisk struct {
	wal.OSFileSystem
	full     atomic.Bool
	failures atomic.Int64 // writes that have failed
	waiting  atomic.Int64 // writes that wait
	held     sync.RWMutex // locked by the test to hold all writes
}

var errDiskFull = errors.New("no space left on device")

func (d *faultyDisk) Create(path string) (wal.File, error) {
	file, err := d.OSFileSystem.Create(path)
	return faultyFile{file, d}, err
}

func (d *faultyDisk) Open(path string) (wal.File, error) {
	file, err := d.OSFileSystem.Open(path)
	return faultyFile{file, d}, err
}

type faultyFile struct {
	wal.File
	disk *faultyDisk
}

func (f faultyFile) WriteAt(data []byte, offset int64) (int, error) {
	f.disk.waiting.Add(1)
	f.disk.held.RLock()
	f.disk.held.RUnlock() //lint:ignore SA2001 waits while the disk is held
	f.disk.waiting.Add(-1)
	if f.disk.full.Load() {
		f.disk.failures.Add(1)
		return 0, errDiskFull
	}
	return f.File.WriteAt(data, offset)
}
