package executor

import (
	"sync"
	"time"

	"kitefall/internal/invocation"
	"kitefall/internal/schedule"
)

// planner owns the scheduler: one goroutine, which never waits for a disk or the core.
type planner struct {
	desk     *Executor
	schedule *schedule.Scheduler

	mu     sync.Mutex // guards the queue, which has no bound of its own: one event for each ticket at most waits in it
	queue  []question
	signal chan struct{}
}

// question is an event, and who wants to know what the scheduler says to it.
type question struct {
	event  schedule.Event
	answer chan<- time.Time // of an EndedEvent
	look   func(*schedule.Scheduler)
}

func newPlanner(d *Executor, s *schedule.Scheduler) *planner {
	return &planner{desk: d, schedule: s, signal: make(chan struct{}, 1)}
}

func (p *planner) ask(q question) {
	p.mu.Lock()
	p.queue = append(p.queue, q)
	p.mu.Unlock()
	select {
	case p.signal <- struct{}{}:
	default:
	}
}

// tell hands an event over.
func (p *planner) tell(e schedule.Event) { p.ask(question{event: e}) }

// ended tells how a run ended and waits for when the next may begin; zero: there is none.
func (p *planner) ended(t *invocation.Invocation, f invocation.Input, advice time.Duration) time.Time {
	e := schedule.RunEndedEvent{ID: t.ID, RetryAfter: advice}
	switch f.Event {
	case invocation.EventServed:
		e.Result = schedule.Served
	case invocation.EventRejected:
		e.Result = schedule.Rejected
	default:
		e.Result = schedule.Failed
	}
	answer := make(chan time.Time, 1)
	p.ask(question{event: e, answer: answer})
	select {
	case at := <-answer:
		return at
	case <-p.desk.ctx.Done(): // the program ends: the next one decides
		return time.Time{}
	}
}

func (p *planner) run(first []schedule.Event) {
	for _, e := range first {
		p.tell(e)
	}
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	began := map[string]time.Time{}
	for {
		select {
		case <-p.signal:
		case <-wake.C:
			p.tell(schedule.TickEvent{})
			continue
		case <-p.desk.ctx.Done():
			return
		}
		p.mu.Lock()
		some := p.queue
		p.queue = nil
		p.mu.Unlock()
		for _, q := range some {
			now := p.desk.clock.Now()
			if q.look != nil {
				q.look(p.schedule)
				continue
			}
			if e, ok := q.event.(schedule.RunEndedEvent); ok {
				if at, known := began[e.ID]; known {
					e.Elapsed = now.Sub(at)
				}
				delete(began, e.ID)
				q.event = e
			}
			again := time.Time{}
			for _, a := range p.schedule.Handle(now, q.event) {
				switch a := a.(type) {
				case schedule.StartRun:
					began[a.ID] = now
					id := a.ID
					p.desk.work.Go(func() { p.desk.begin(id) })
				case schedule.Retry:
					again = a.At
				case schedule.Expire:
					id := a.ID
					p.desk.work.Go(func() { p.desk.expire(id) })
				case schedule.SetTimer:
					wake.Reset(max(a.At.Sub(now), 0))
				}
			}
			if e, ok := q.event.(schedule.RunAbortedEvent); ok {
				delete(began, e.ID)
			}
			if q.answer != nil {
				q.answer <- again
			}
		}
	}
}
