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
	// identityTimeout is how long the Workload API may take to deliver the first identity.
	identityTimeout = 30 * time.Second
	// storeLockTimeout is how long another process may hold the lock of the invocation store.
	storeLockTimeout = 5 * time.Second
	// maxClockLead is how far the times of the last run may lie from the wall clock before it is logged.
	maxClockLead = time.Minute
	// invokeGCPercent replaces the garbage collector's default of 100 while the invoke API is on.
	invokeGCPercent = 50
	// shutdownTimeout is how long requests of the invoke API may take to end.
	shutdownTimeout = 5 * time.Second
)

// invokeService is the invoke API and what it needs: the executor of invocations with its store, the control socket and
// the source of the TLS identity.
type invokeService struct {
	core     *dispatch.Core
	identity *workloadapi.X509Source
	executor *executor.Executor
	control  *control.Server
	server   *invoke.Server
}

// readInvokeConfig reads the operator's file, if there is one, and returns how many connections it wants.
func readInvokeConfig(invokeFile string, conf *config.Config) (invokeConfig *invoke.Config, connections int, err error) {
	if invokeFile == "" {
		return nil, 0, nil
	}
	invokeConfig, err = invoke.ReadConfig(invokeFile, conf.Settings)
	if err != nil {
		return nil, 0, err
	}
	return invokeConfig, invokeConfig.MaxConns, nil
}

// startInvoke starts the invoke API as the operator's file says, with connections that take their descriptors from a share. An
// error of the server after the start is sent to failed.
func startInvoke(invokeConfig *invoke.Config, conf *config.Config, core *dispatch.Core, share *descriptors.Share,
	failed chan<- error) (*invokeService, error) {
	if share.Limit() < invokeConfig.MaxConns {
		slog.Warn("invoke: fewer connections than configured, for want of descriptors", "configured", invokeConfig.MaxConns,
			"allowed", share.Limit())
	}
	s := &invokeService{core: core}
	var err error
	if s.identity, err = waitForIdentity(invokeConfig.WorkloadAPI); err != nil {
		return nil, err
	}
	invocations, err := s.startExecutor(invokeConfig)
	if err != nil {
		return nil, err
	}
	operations := control.ForStore(invocations, s.executor.Clock(), s.executor.Redrive)
	if s.control, err = control.Listen(invokeConfig.Control, operations); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", invokeConfig.Listen)
	if err != nil {
		return nil, err
	}
	s.server = invoke.New(invokeConfig, s.executor, s.identity)
	go func() { // ended by close
		if err := s.server.Serve(share.Listener(listener)); err != nil {
			failed <- err
		}
	}()
	slog.Info("serving the invoke API", "name", conf.Name, "addr", listener.Addr().String())
	return s, nil
}

// waitForIdentity returns the source of the server's identity once the first one is there.
func waitForIdentity(workloadAPI string) (*workloadapi.X509Source, error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(identityTimeout))
	defer cancel()
	return invoke.WaitForIdentity(ctx, workloadAPI)
}

// startExecutor opens the store and has the executor take up the invocations that the last run left open.
func (s *invokeService) startExecutor(invokeConfig *invoke.Config) (*store.Store, error) {
	invocations, clock, err := openStore(invokeConfig)
	if err != nil {
		return nil, err
	}
	s.executor, err = executor.New(invocations, s.core, invokeConfig, invokeConfig.SchedulerConfig(), clock)
	if err != nil {
		return nil, err
	}
	// The store may hold 100,000 waiting invocations: small objects that live long. Keeping less garbage beside them is
	// worth the collector's time. While the invoke API is off the default stays.
	debug.SetGCPercent(invokeGCPercent)
	return invocations, s.executor.Recover()
}

// openStore opens and verifies the invocation store. It also returns the clock of the store's times.
func openStore(invokeConfig *invoke.Config) (*store.Store, *monotonic.Clock, error) {
	options := invokeConfig.StoreOptions()
	options.Durable.LockDeadline = time.Now().Add(storeLockTimeout)
	options.Durable.VerifyOnOpen = true
	invocations, err := store.Open(invokeConfig.Store, options)
	if err != nil {
		return nil, nil, err
	}
	wall := time.Now()
	clock, err := invocations.StartClock(wall, monotonic.ReadUptime())
	if err != nil {
		return nil, nil, err
	}
	if lead := clock.Now().Sub(wall.Round(0)); lead.Abs() > maxClockLead {
		slog.Warn("tickets: the wall clock was set since the last run; times go on from those of that run",
			"ahead", lead.Round(time.Second))
	}
	return invocations, clock, nil
}

// followDrain has the invoke API send its clients away, and take them again, as the state says, until the process is told to
// end: what is to be done then is drain's business.
func (s *invokeService) followDrain(state *drain.State) {
	for {
		changed := state.Changed() // before the phase, lest a change be missed
		switch state.Phase() {
		case drain.Terminating:
			return
		case drain.Evacuating:
			s.evacuate(state.Evacuation(), changed)
		case drain.Serving:
			s.server.Rejoin()
		}
		<-changed
	}
}

// evacuate follows a schedule, unless the state changes.
func (s *invokeService) evacuate(schedule drain.Schedule, changed <-chan struct{}) {
	begun := time.Now()
	for _, step := range []struct {
		at    time.Duration
		carry func()
	}{{schedule.Linger, s.server.Evacuate}, {schedule.AnswerBy, s.server.EndWaits}} {
		select {
		case <-time.After(time.Until(begun.Add(step.at))):
			step.carry()
		case <-changed:
			return
		}
	}
}

// drain rejects new requests from now on. Without it a busy invoke API would never run out of calls in flight.
func (s *invokeService) drain() { s.server.Drain() }

// close ends the service and stops the core. It must be called once nothing is in flight in the core.
func (s *invokeService) close() error {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(shutdownTimeout))
	defer cancel()
	s.server.Shutdown(ctx)
	s.control.Close()
	s.core.Stop()
	s.identity.Close()
	return s.executor.Close()
}
