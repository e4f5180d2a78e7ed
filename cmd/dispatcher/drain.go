package main

import (
	"time"

	"kitefall/internal/lifecycle"
	"kitefall/internal/metrics"
)

// drainPollInterval is the time between two checks whether everything in flight is answered.
const drainPollInterval = 5 * time.Millisecond

// drain ends the program's service. Everything is taken for a while, as package drain says; then the listeners close and the
// clients are sent away, and drain returns once all calls in flight are answered and no client connection is active.
func (s *server) drain() error {
	s.phases.Enter(lifecycle.Draining)
	s.drainState.Terminate(time.Now())
	time.Sleep(s.drainState.Linger())
	s.listener.Close()
	if s.invoke != nil {
		s.invoke.drain()
	}
	for s.core.InFlight() > 0 || s.frontend.ActiveConns() > 0 {
		time.Sleep(drainPollInterval)
	}
	var err error
	if s.invoke != nil {
		err = s.invoke.close()
	}
	s.descriptors.Check()
	metrics.Log()
	s.phases.Enter(lifecycle.Stopped)
	return err
}
