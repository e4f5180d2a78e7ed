package balancer

import (
	"errors"
	"time"

	"kitefall/internal/permit"
)

// Balancer decides for one dispatcher.
type Balancer struct {
	settings Settings
	seed     uint64
	classes  map[string]*Class
	tenants  map[string]*tenant

	now     time.Duration // of the event being handled
	actions []Action      // so far in answer to it
	timer   timer
	polling polling

	workers        map[WorkerID]*worker
	zones          map[string]*zone
	ready          []*worker // sorted by ID
	changes        listChangeLog
	leases         leases
	restarts       restarts
	keepalives     keepalives
	rankBuffer     []rankedWorker // for rebuildOrder
	emptyPlacement placement      // for look
	meanLoad       float64        // of the ready workers
	failOpen       bool           // most workers are unavailable: ejections are ignored
	functions      map[FunctionID]*function
	hotSet         hotSet

	requests        map[RequestID]*request
	unanswered      []*request               // in order of arrival
	backlogged      bool                     // requests wait for room
	longestTimeLeft map[string]time.Duration // seen so far, by class
	retries         tokenBucket
	loads           loadBudget
	stats           fleetStats
}

// New returns the balancer of one dispatcher, or an error for settings that cannot work.
func New(s Settings, seed uint64) (*Balancer, error) {
	s.MaxAttempts = max(1, s.MaxAttempts)
	s.Dispatchers = max(1, s.Dispatchers)
	s.leaseTerms = permit.NewLeaseTerms(s.DrainGrace)
	if len(s.Classes) == 0 {
		return nil, errors.New("balancer: the settings name no class")
	}
	if minDuration(s) < 0 {
		return nil, errors.New("balancer: the settings hold a negative time")
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
		retries:         tokenBucket{tokens: maxRetryBudget, limit: maxRetryBudget},
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

// minDuration is the smallest of all times in the settings.
func minDuration(s Settings) time.Duration {
	shortest := min(s.MinEventInterval, s.AnswerGrace, s.DrainGrace, s.SlowStartDuration, s.OverloadWindow,
		s.IdleTTL, s.LoadTimeout, s.LoadWindow, s.PollTimeout, s.MaxRetryAfter, s.DialTimeout)
	for _, c := range s.Classes {
		shortest = min(shortest, c.LatencyObjective, c.Deadline, c.DedupWindow)
	}
	return shortest
}

// Handle takes one event at time now and returns what to do, in order.
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

// armTimer keeps one timer: short while requests are unanswered, else at the pace of the hot set.
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
