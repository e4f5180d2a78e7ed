package main

import (
	"context"
	"log/slog"
	"net"
	"runtime/debug"
	"time"

	"github.com/spiffe/go-spiffe/v2/workloadapi"

	"kitefall/internal/config"
	"kitefall/internal/control"
	"kitefall/internal/descriptors"
	"kitefall/internal/dispatch"
	"kitefall/internal/drain"
	"kitefall/internal/frontend/invoke"
	"kitefall/internal/invocation/executor"
	"kitefall/internal/invocation/store"
	"kitefall/internal/monotonic"
)

const (
	// identityTimeout is how long the program waits at its start for the first identity from the Workload API.
	identityTimeout = 30 * time.Second
	// storeLockTimeout is how long the program waits at its start for the lock of the invocation store while another
	// process holds it.
	storeLockTimeout = 5 * time.Second
	// maxClockOffset is the largest difference between the store's clock and the wall clock, in either direction, that is
	// not logged at the start.
	maxClockOffset = time.Minute
	// invokeGCPercent is the garbage collector's target percentage (GOGC) while the invoke API is on; Go's default is 100.
	invokeGCPercent = 50
)

// invokeService is the invoke API with its dependencies: the executor of invocations, which owns their store, the control
// socket and the source of the TLS identity.
type invokeService struct {
	core     *dispatch.Core
	identity *workloadapi.X509Source
	executor *executor.Executor
	control  *control.Server
	server   *invoke.Server
}

// readInvokeConfig reads the operator's file and returns it with the maximum number of connections that it configures. If
// invokeFile is empty, the invoke API is off, and readInvokeConfig returns nil and 0.
func readInvokeConfig(invokeFile string, conf *config.Config) (invokeConfig *invoke.Config, maxConns int, err error) {
	if invokeFile == "" {
		return nil, 0, nil
	}
	invokeConfig, err = invoke.ReadConfig(invokeFile, conf.Settings)
	if err != nil {
		return nil, 0, err
	}
	return invokeConfig, invokeConfig.MaxConns, nil
}

// startInvoke starts the invoke API as the operator's file configures it. The connections of its clients take their
// descriptors from share. If the HTTP server fails after the start, its error is sent to serveErrors.
func startInvoke(invokeConfig *invoke.Config, conf *config.Config, core *dispatch.Core, share *descriptors.Share,
	serveErrors chan<- error) (*invokeService, error) {
	if share.Limit() < invokeConfig.MaxConns {
		slog.Warn("invoke: fewer connections than configured, for want of descriptors", "configured", invokeConfig.MaxConns,
			"allowed", share.Limit())
	}
	s := &invokeService{core: core}
	var err error
	if s.identity, err = waitForIdentity(invokeConfig.WorkloadAPI); err != nil {
		return nil, err
	}
	invocationStore, err := s.startExecutor(invokeConfig)
	if err != nil {
		return nil, err
	}
	operations := control.ForStore(invocationStore, s.executor.Clock(), s.executor.Redrive)
	if s.control, err = control.Listen(invokeConfig.Control, operations); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", invokeConfig.Listen)
	if err != nil {
		return nil, err
	}
	s.server = invoke.New(invokeConfig, s.executor, s.identity)
	go func() { // ends when close shuts the server down
		if err := s.server.Serve(listener, share); err != nil {
			serveErrors <- err
		}
	}()
	slog.Info("serving the invoke API", "name", conf.Name, "addr", listener.Addr().String())
	return s, nil
}

// waitForIdentity returns the source of the server's identity, once the Workload API has delivered the first identity. It
// fails after identityTimeout.
func waitForIdentity(workloadAPI string) (*workloadapi.X509Source, error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(identityTimeout))
	defer cancel()
	return invoke.WaitForIdentity(ctx, workloadAPI)
}

// startExecutor opens the store and starts the executor, which recovers the invocations that the last run of the program
// left incomplete.
func (s *invokeService) startExecutor(invokeConfig *invoke.Config) (*store.Store, error) {
	invocationStore, clock, err := openStore(invokeConfig)
	if err != nil {
		return nil, err
	}
	s.executor, err = executor.New(invocationStore, s.core, invokeConfig, invokeConfig.SchedulerConfig(), clock)
	if err != nil {
		return nil, err
	}
	// The store may hold 100,000 waiting invocations: small objects that live long. The lower target keeps less garbage on
	// the heap beside them, which is worth the additional collections. While the invoke API is off, the default stays.
	debug.SetGCPercent(invokeGCPercent)
	return invocationStore, s.executor.Recover()
}

// openStore opens and verifies the invocation store. It also returns the clock for the times in the store, which continues
// from the last run of the program.
func openStore(invokeConfig *invoke.Config) (*store.Store, *monotonic.Clock, error) {
	options := invokeConfig.StoreOptions()
	options.Durable.LockDeadline = time.Now().Add(storeLockTimeout)
	options.Durable.VerifyOnOpen = true
	invocationStore, err := store.Open(invokeConfig.Store, options)
	if err != nil {
		return nil, nil, err
	}
	wall := time.Now()
	clock, err := invocationStore.StartClock(wall, monotonic.ReadUptime())
	if err != nil {
		return nil, nil, err
	}
	if offset := clock.Now().Sub(wall.Round(0)); offset.Abs() > maxClockOffset {
		slog.Warn("tickets: the wall clock was set since the last run; times go on from those of that run",
			"ahead", offset.Round(time.Second))
	}
	return invocationStore, clock, nil
}

// followDrain drains the invoke API as package drain schedules it, or has it accept clients again, whenever the drain state changes.
// It returns once the last steps of a termination are carried out.
func (s *invokeService) followDrain(state *drain.State) {
	for {
		changed := state.Changed() // read before the times, so that no change between the two reads is missed
		times, draining := state.Times()
		if !draining {
			s.server.Rejoin()
		}
		if draining && s.runDrain(times, changed) && state.Phase() == drain.Terminating {
			return
		}
		<-changed
	}
}

// runDrain carries out the steps of a drain at their times. It returns early, and false, when changed is closed.
func (s *invokeService) runDrain(times drain.Times, changed <-chan struct{}) (finished bool) {
	for _, step := range []struct {
		at  time.Time
		run func()
	}{{times.RejectFrom, s.server.Drain}, {times.AnswerBy, s.server.EndWaits}} {
		select {
		case <-time.After(time.Until(step.at)):
			step.run()
		case <-changed:
			return false
		}
	}
	return true
}

// close shuts down the invoke API, the control socket, the core, the identity source and the executor with its store, in
// this order. Requests that still wait are answered at once with what is known of their invocations. Calls in flight at the core
// remain on record, and the next start takes them up. The API's clients have until deliverBy to take their responses, and the store
// to close.
func (s *invokeService) close(deliverBy time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deliverBy)
	defer cancel()
	s.server.EndWaits()
	s.server.Shutdown(ctx)
	s.control.Close()
	s.core.Stop()
	s.identity.Close()
	err := closeUntil(ctx, s.executor.Close)
	s.server.AwaitDelivery(ctx)
	return err
}

// closeUntil calls closeStore and returns its error. If ctx is done first, it returns nil, and closeStore goes on in the background: a
// long maintenance task or a disk that hangs must not keep the program from ending. The next start then recovers the store, as after
// a crash.
func closeUntil(ctx context.Context, closeStore func() error) error {
	closed := make(chan error, 1)
	go func() { closed <- closeStore() }()
	select {
	case err := <-closed:
		return err
	case <-ctx.Done():
		slog.Error("tickets: the store was not closed in time, the next start recovers it")
		return nil
	}
}
