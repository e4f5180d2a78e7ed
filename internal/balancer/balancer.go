package balancer

import (
	"errors"
	"time"

	"kitefall/internal/permit"
)

// Balancer decides for one dispatcher where attempts of requests go, where functions are loaded, and how
// requests end.
type Balancer struct {
	settings Settings
	seed     uint64
	classes  map[string]*Class
	tenants  map[string]*tenant

	now     time.Duration // time of the event being handled
	actions []Action      // emitted so far for the event being handled
	timer   timer
	polling polling

	workers        map[WorkerID]*worker
	zones          map[string]*zone
	ready          []*worker // the ready workers: available ones as of the last update, sorted by ID
	changes        listChangeLog
	leases         leases
	restarts       restarts
	keepalives     keepalives
	rankBuffer     []rankedWorker // reused by rebuildOrder, to save allocations
	emptyPlacement placement      // returned by peekPlacement for a worker without a record
	meanLoad       float64        // mean of load over the ready workers
	failOpen       bool           // most ready workers are ejected: ejections are ignored
	functions      map[FunctionID]*function
	hotSet         hotSet

	requests        map[RequestID]*request
	unanswered      []*request               // requests without a final answer, in order of arrival
	backlogged      bool                     // the last sweep left requests without a worker or load order
	longestTimeLeft map[string]time.Duration // largest TimeLeft of any request so far, by class
	retryBudget     tokenBucket              // pays for hedged requests and retries
	loads           loadBudget
	stats           fleetStats
}

// New returns the balancer of one dispatcher. It returns an error if the settings contain no class or a
// negative duration.
func New(s Settings, seed uint64) (*Balancer, error) {
	s.MaxAttempts = max(1, s.MaxAttempts)
	s.Dispatchers = max(1, s.Dispatchers)
	s.leaseTerms = permit.NewLeaseTerms(s.DrainGrace)
	if len(s.Classes) == 0 {
		return nil, errors.New("balancer: the settings define no request class")
	}
	if minDuration(s) < 0 {
		return nil, errors.New("balancer: the settings contain a negative duration")
	}
	b := &Balancer{
		settings:        s,
		seed:            seed,
		classes:         map[string]*Class{},
		tenants:         map[string]*tenant{},
		workers:         map[WorkerID]*worker{},
		zones:           map[string]*zone{},
		functions:       map[FunctionID]*function{},
		requests:        map[RequestID]*request{},
		longestTimeLeft: map[string]time.Duration{},
		retryBudget:     tokenBucket{tokens: maxRetryBudget, limit: maxRetryBudget},
		loads:           newLoadBudget(s),
		stats:           fleetStats{failureRate: map[string]float64{}},
	}
	for _, c := range s.Classes {
		b.classes[c.Name] = &c
	}
	for _, t := range s.Tenants {
		b.tenants[t.Name] = &tenant{rateQuota: t.RateQuota}
	}
	return b, nil
}

// minDuration returns the smallest of the durations in the settings that must not be negative.
func minDuration(s Settings) time.Duration {
	shortest := min(s.MinEventInterval, s.AnswerGrace, s.DrainGrace, s.SlowStartDuration, s.OverloadWindow,
		s.IdleTTL, s.LoadTimeout, s.LoadWindow, s.PollTimeout, s.MaxRetryAfter, s.DialTimeout)
	for _, c := range s.Classes {
		shortest = min(shortest, c.LatencyObjective, c.Deadline, c.DedupWindow)
	}
	return shortest
}

// Handle processes an event that happens at now, and returns the actions to carry out, in order.
func (b *Balancer) Handle(now time.Duration, e Event) []Action {
	b.now = now
	b.actions = nil
	b.pollEndpoints()
	switch e := e.(type) {
	case EndpointsEvent:
		b.onEndpoints(e)
	case EndpointsSyncedEvent:
		b.onEndpointsSynced(e)
	case PeerGoneEvent:
		b.onPeerGone(e)
	case RequestEvent:
		b.onRequest(e)
	case OutcomeEvent:
		b.onOutcome(e)
	case StreamStartedEvent:
		b.close(b.requests[e.ID], true)
	case ClientGoneEvent:
		b.close(b.requests[e.ID], false)
	case LoadEndedEvent:
		b.onLoadEnded(e)
	case TimerEvent:
		if e.TimerID == b.timer.id {
			b.timer.dueAt = 0
			b.sweep()
		}
	}
	b.armTimer()
	return b.actions
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// armTimer makes the timer expire within sweepInterval while requests are unanswered, and within
// hotSetInterval otherwise. Only the timer that was armed last counts.
func (b *Balancer) armTimer() {
	after := hotSetInterval
	if len(b.unanswered) > 0 {
		after = sweepInterval
	}
	if b.timer.dueAt == 0 || b.timer.dueAt > b.now+after {
		b.timer.dueAt = b.now + after
		b.timer.id++
		b.emit(SetTimer{After: after, TimerID: b.timer.id})
	}
}
