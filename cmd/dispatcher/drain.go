package main

import (
	"time"

	"kitefall/internal/lifecycle"
	"kitefall/internal/metrics"
)

// drainPollInterval is the time between two checks for calls in flight and open client connections.
const drainPollInterval = 5 * time.Millisecond

// drain shuts the service down gracefully. The program still accepts new connections and all calls for the time that
// drain.State.AcceptAllFor returns. Then drain closes the listener for clients, has the invoke API reject new
// invocations, and waits until all calls in flight are answered and the frontend has closed all client connections, as
// s.drainState schedules. Finally drain stops the invoke API and logs the metrics.
func (s *server) drain() error {
	s.phases.Enter(lifecycle.Draining)
	terminatedAt := time.Now()
	s.drainState.Terminate(terminatedAt)
	time.Sleep(s.drainState.AcceptAllFor())
	s.listener.Close()
	if s.invoke != nil {
		s.invoke.drain()
	}
	for s.core.InFlight() > 0 || s.frontend.OpenConns() > 0 {
		time.Sleep(drainPollInterval)
	}
	var err error
	if s.invoke != nil {
		err = s.invoke.close(terminatedAt.Add(s.drainState.CloseBy()))
	}
	s.descriptors.Check()
	metrics.Log()
	s.phases.Enter(lifecycle.Stopped)
	return err
}
