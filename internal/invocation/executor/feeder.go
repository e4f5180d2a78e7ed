package executor

import (
	"sync"
	"time"

	"kitefall/internal/invocation"
	"kitefall/internal/schedule"
)

// feeder is the event loop of the scheduler: its goroutine passes events to the scheduler and executes the returned
// actions. The goroutine never waits for the disk or the dispatcher.
type feeder struct {
	executor  *Executor
	scheduler *schedule.Scheduler

	mu     sync.Mutex // guards queue
	queue  []feederMessage
	signal chan struct{} // capacity 1; has an element while the queue may be non-empty

	// The following fields are used only by the goroutine of run.
	timer     *time.Timer
	startedAt map[string]time.Time // when each run in progress was started, by invocation ID
}

// feederMessage is either an event for the scheduler or a function that inspects the scheduler.
type feederMessage struct {
	event   schedule.Event
	retryAt chan<- time.Time          // with a RunEndedEvent: receives when the next run may start; has capacity 1
	inspect func(*schedule.Scheduler) // if set, called instead of handling event
}

func newFeeder(e *Executor, scheduler *schedule.Scheduler) *feeder {
	return &feeder{
		executor:  e,
		scheduler: scheduler,
		signal:    make(chan struct{}, 1),
		startedAt: map[string]time.Time{},
	}
}

// enqueue appends a message to the queue and does not wait until it is handled. The queue needs no bound, since each
// invocation has only a few messages in it.
func (f *feeder) enqueue(message feederMessage) {
	f.mu.Lock()
	f.queue = append(f.queue, message)
	f.mu.Unlock()
	select {
	case f.signal <- struct{}{}:
	default:
	}
}

// dequeueAll empties the queue and returns the messages that were in it.
func (f *feeder) dequeueAll() []feederMessage {
	f.mu.Lock()
	defer f.mu.Unlock()
	messages := f.queue
	f.queue = nil
	return messages
}

// send queues an event for the scheduler and does not wait until it is handled.
func (f *feeder) send(event schedule.Event) { f.enqueue(feederMessage{event: event}) }

// runEnded reports the end of a run to the scheduler and returns when the next run may start. It returns the zero time
// if there is no further run. It also returns the zero time if the executor is closed; the next start of the program
// then decides about a further run.
func (f *feeder) runEnded(id string, event invocation.Event, retryAfter time.Duration) time.Time {
	ended := schedule.RunEndedEvent{ID: id, Result: runResult(event), RetryAfter: retryAfter}
	retryAt := make(chan time.Time, 1)
	f.enqueue(feederMessage{event: ended, retryAt: retryAt})
	select {
	case at := <-retryAt:
		return at
	case <-f.executor.ctx.Done():
		return time.Time{}
	}
}

// runResult converts the event that ended a run to the scheduler's result.
func runResult(event invocation.Event) schedule.Result {
	switch event {
	case invocation.EventServed:
		return schedule.Served
	case invocation.EventRejected:
		return schedule.Rejected
	default:
		return schedule.Failed
	}
}

// run handles the initial events and then all queued messages and timer ticks, until the executor is closed.
func (f *feeder) run(initial []schedule.Event) {
	for _, event := range initial {
		f.send(event)
	}
	f.timer = time.NewTimer(time.Hour) // a placeholder; SetTimer actions reset the timer
	defer f.timer.Stop()
	for {
		select {
		case <-f.signal:
			for _, message := range f.dequeueAll() {
				f.handle(message)
			}
		case <-f.timer.C:
			f.send(schedule.TickEvent{})
		case <-f.executor.ctx.Done():
			return
		}
	}
}

// handle processes one message of the queue.
func (f *feeder) handle(message feederMessage) {
	if message.inspect != nil {
		message.inspect(f.scheduler)
		return
	}
	now := f.executor.clock.Now()
	event := message.event
	if ended, ok := event.(schedule.RunEndedEvent); ok {
		ended.Elapsed = f.takeElapsed(ended.ID, now)
		event = ended
	}
	retryAt := time.Time{}
	for _, action := range f.scheduler.Handle(now, event) {
		if retry, ok := action.(schedule.Retry); ok {
			retryAt = retry.At
			continue
		}
		f.executeAction(action, now)
	}
	if aborted, ok := event.(schedule.RunAbortedEvent); ok {
		delete(f.startedAt, aborted.ID)
	}
	if message.retryAt != nil {
		message.retryAt <- retryAt
	}
}

// takeElapsed returns the time since the run of an invocation was started, and removes the start time. It returns 0 if
// the start time is unknown.
func (f *feeder) takeElapsed(id string, now time.Time) time.Duration {
	startedAt, found := f.startedAt[id]
	delete(f.startedAt, id)
	if !found {
		return 0
	}
	return now.Sub(startedAt)
}

// executeAction executes an action of the scheduler. An action that may wait for the disk runs on its own goroutine.
func (f *feeder) executeAction(action schedule.Action, now time.Time) {
	switch action := action.(type) {
	case schedule.StartRun:
		f.startedAt[action.ID] = now
		f.executor.goroutines.Go(func() { f.executor.startRun(action.ID) })
	case schedule.Expire:
		f.executor.goroutines.Go(func() { f.executor.expire(action.ID) })
	case schedule.SetTimer:
		f.timer.Reset(max(action.At.Sub(now), 0))
	}
}
