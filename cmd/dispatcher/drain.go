package main

import (
	"time"

	"kitefall/internal/lifecycle"
	"kitefall/internal/metrics"
)

const (
	// drainDelay is how long new calls are still taken after the signal to terminate: clients notice late that the
	// dispatcher is no longer ready.
	drainDelay = 700 * time.Millisecond
	// drainPollInterval is the time between two checks whether everything in flight is answered.
	drainPollInterval = 5 * time.Millisecond
)

// drain ends the program's service. New calls are taken for drainDelay; then the frontends close, and drain returns once
// all calls in flight are answered and no client connection is active.
func (s *server) drain() error {
	s.phases.Enter(lifecycle.Draining)
	time.Sleep(drainDelay)
	s.listener.Close()
	s.frontend.Drain()
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
	metrics.Log()
	s.phases.Enter(lifecycle.Stopped)
	return err
}
