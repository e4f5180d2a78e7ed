package main

import (
	"time"

	"kitefall/internal/lifecycle"
	"kitefall/internal/metrics"
)

// drainPollInterval is the time between two checks for work in progress and open client connections.
const drainPollInterval = 5 * time.Millisecond

// drain shuts the service down gracefully, as s.drainState schedules it. No further deferred call is started. The program still
// accepts new connections and all requests for the time that the schedule's AcceptAllFor gives. Then drain closes the listener for
// clients, and waits until everything in progress has ended and the frontend has closed all client connections. Finally drain
// stops the invoke API, which answers what still waits, and logs the metrics.
func (s *server) drain() error {
	s.phases.Enter(lifecycle.Draining)
	terminatedAt := time.Now()
	s.drainState.Terminate(terminatedAt)
	schedule := s.drainState.Termination()
	if s.invoke != nil {
		s.invoke.executor.StopScheduling()
	}
	time.Sleep(schedule.AcceptAllFor)
	s.listener.Close()
	s.awaitWork(terminatedAt.Add(schedule.AnswerBy))
	var err error
	if s.invoke != nil {
		err = s.invoke.close(terminatedAt.Add(schedule.CloseBy))
	}
	s.descriptors.Check()
	metrics.Log()
	s.phases.Enter(lifecycle.Stopped)
	return err
}

// awaitWork waits until nothing is in progress, until answerBy at the latest, and until the frontend has closed all client
// connections.
func (s *server) awaitWork(answerBy time.Time) {
	for s.frontend.OpenConns() > 0 || (s.workInProgress() && time.Now().Before(answerBy)) {
		time.Sleep(drainPollInterval)
	}
}

// workInProgress reports whether calls are in flight, or invocations have begun whose outcome is not stored yet.
func (s *server) workInProgress() bool {
	return s.core.InFlight() > 0 || (s.invoke != nil && s.invoke.executor.InProgress() > 0)
}
