package soak

import (
	"fmt"
	"net/http/httptest"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const second = time.Second

// newHistory returns a history with one dispatcher that was started at 1 s, and with round figures in its rules.
func newHistory() *History {
	rules := Rules{LoadBurst: 1, LoadRatio: 0.5, LoadWindow: 2 * second, DrainGrace: second, OverloadFactor: 1,
		OverloadWindow: second, ColdCapacityShare: 1, WarmUpTime: 4 * second, WorkerRate: 1}
	return &History{Rules: rules, KillDelay: 2 * second, Limits: DefaultLimits(), Dispatchers: []DispatcherRun{{Started: second}}}
}

// newRequest returns a request of a call that is not idempotent, whose client waits for a second.
func newRequest(sent time.Duration) *Request {
	return &Request{ID: 7, Class: ClassNotIdempotent, Wait: second, Sent: sent}
}

// callEvent returns an event of the call of newRequest at worker s-1.
func callEvent(kind WorkerEventKind, at time.Duration) WorkerEvent {
	return WorkerEvent{At: at, Kind: kind, Worker: "s-1", Call: 7, Class: ClassNotIdempotent}
}

// Guards against an oracle that misses a violation, or reports one where no rule is broken.
func TestCheckFindsBrokenRules(t *testing.T) {
	answered := newRequest(10 * second)
	answered.Answers = []time.Duration{11 * second}
	for name, test := range map[string]struct {
		change func(*History)
		want   []Rule
	}{
		"empty history": {func(*History) {}, nil},
		"three load orders without a request": {func(h *History) {
			for range 3 {
				h.Workers = append(h.Workers, WorkerEvent{At: 10 * second, Kind: LoadArrived, Copies: 1})
			}
		}, []Rule{RuleLoads}},
		"three load orders with three requests": {func(h *History) {
			for range 3 {
				h.Workers = append(h.Workers, WorkerEvent{At: 10 * second, Kind: LoadArrived, Copies: 1})
				h.Requests = append(h.Requests, &Request{Sent: 9 * second, Answers: []time.Duration{9 * second}, Wait: second})
			}
		}, nil},
		"not idempotent, run twice": {func(h *History) {
			h.Workers = []WorkerEvent{callEvent(CallStarted, 10*second), callEvent(CallStarted, 12*second)}
		}, []Rule{RuleDuplicate}},
		"sent to a draining worker": {func(h *History) {
			h.Notifications = []Notification{{Worker: "s-1", State: stateLeaving, KnownAt: 8 * second}}
			h.Workers = []WorkerEvent{callEvent(CallArrived, 10*second)}
		}, []Rule{RuleDrain}},
		"sent to a worker that is ready again": {func(h *History) {
			h.Notifications = []Notification{{Worker: "s-1", State: stateLeaving, KnownAt: 7 * second},
				{Worker: "s-1", State: stateActive, KnownAt: 8 * second}}
			h.Workers = []WorkerEvent{callEvent(CallArrived, 10*second)}
		}, nil},
		"load order for no copies at a draining worker": {func(h *History) {
			h.Notifications = []Notification{{Worker: "s-1", State: stateLeaving, KnownAt: 8 * second}}
			h.Workers = []WorkerEvent{{At: 10 * second, Kind: LoadArrived, Worker: "s-1"}}
		}, nil},
		"load order at a draining worker": {func(h *History) {
			h.Notifications = []Notification{{Worker: "s-1", State: stateLeaving, KnownAt: 8 * second}}
			h.Workers = []WorkerEvent{{At: 10 * second, Kind: LoadArrived, Worker: "s-1", Copies: 1}}
		}, []Rule{RuleDrain}},
		"more than half served in a long outage": {func(h *History) { addServing(h, 100, 51) }, nil},
		"less than half served in a long outage": {func(h *History) { addServing(h, 100, 49) }, []Rule{RuleServe}},
		"too few requests to compare":            {func(h *History) { addServing(h, 99, 0) }, nil},
		"none served, one of three workers has drained": {func(h *History) {
			addServing(h, 100, 0)
			h.addChanges(25*second, stateLeaving)
		}, []Rule{RuleServe}},
		"none served, most workers have drained": {func(h *History) {
			addServing(h, 100, 0)
			h.addChanges(25*second, stateLeaving, stateLeaving)
		}, nil},
		"none served, most workers were started again": {func(h *History) {
			addServing(h, 100, 0)
			h.addChanges(25*second, stateActive, stateActive)
		}, nil},
		"none served, most workers drained before or after": {func(h *History) {
			addServing(h, 100, 0)
			h.addChanges(15*second, stateLeaving, stateLeaving)
			h.addChanges(31*second, stateLeaving, stateLeaving, stateLeaving)
		}, []Rule{RuleServe}},
		"choice that was stopped": {func(h *History) { h.Dispatchers[0].StoppedChoices = 1 }, []Rule{RuleChoice}},
		"no answer":               {func(h *History) { h.Requests = []*Request{newRequest(10 * second)} }, []Rule{RuleLost}},
		"no answer, client left": {func(h *History) {
			r := newRequest(10 * second)
			r.ClientLeft = 10*second + second/2
			h.Requests = []*Request{r}
		}, nil},
		"no answer, dispatcher killed": {func(h *History) {
			h.Dispatchers[0].Killed = 10*second + second/2
			h.Requests = []*Request{newRequest(10 * second)}
		}, nil},
		"no answer before a kill long after SIGTERM": {func(h *History) {
			h.Dispatchers[0].Terminated = 10 * second
			h.Dispatchers[0].Killed = 10*second + h.KillDelay
			r := newRequest(10 * second)
			r.Wait = 4 * second
			h.Requests = []*Request{r}
		}, []Rule{RuleLost}},
		"no answer, sent between SIGTERM and the kill": {func(h *History) {
			h.Dispatchers[0].Terminated = 10 * second
			h.Dispatchers[0].Killed = 12 * second
			h.Requests = []*Request{newRequest(11*second + second/2)}
		}, []Rule{RuleLost}},
		"unread at the close of an idle connection": {func(h *History) {
			h.Requests = []*Request{endedRequest(49, 1, true)}
		}, nil},
		"read before the close": {func(h *History) {
			h.Requests = []*Request{endedRequest(49, 1, false)}
		}, []Rule{RuleLost}},
		"sent long before the close": {func(h *History) {
			h.Requests = []*Request{endedRequest(51, 1, true)}
		}, []Rule{RuleLost}},
		"closed with another request open": {func(h *History) {
			h.Requests = []*Request{endedRequest(1, 2, true)}
		}, []Rule{RuleLost}},
		"clients held after an evacuation": {func(h *History) {
			h.Evacuations = []Evacuation{{CalledAt: second, Problems: []string{"a connection is held"}}}
		}, []Rule{RuleEvacuate}},
		"too many descriptors": {func(h *History) { h.Dispatchers[0].Descriptors = 1025 }, []Rule{RuleLimits}},
		"too much memory":      {func(h *History) { h.Dispatchers[0].MemoryMB = 193 }, []Rule{RuleLimits}},
		"two answers": {func(h *History) {
			r := *answered
			r.Answers = []time.Duration{11 * second, 11 * second}
			h.Requests = []*Request{&r}
		}, []Rule{RuleLost}},
		"attempt after the client has left": {func(h *History) {
			r := newRequest(10 * second)
			r.ClientLeft = 10*second + second/10
			h.Requests = []*Request{r}
			h.Workers = []WorkerEvent{callEvent(CallArrived, 11*second)}
		}, []Rule{RuleGone}},
		"time limit beyond the client's": {func(h *History) {
			h.Requests = []*Request{answered}
			e := callEvent(CallArrived, 10*second+second/2)
			e.Timeout = second
			h.Workers = []WorkerEvent{e}
		}, []Rule{RuleDeadline}},
		"unknown time of arrival at a stopped worker": {func(h *History) {
			h.Requests = []*Request{answered}
			h.Freezes = []Freeze{{Worker: "s-1", Begin: 10 * second, End: 11 * second}}
			e := callEvent(CallArrived, 11*second)
			e.Timeout = second
			h.Workers = []WorkerEvent{e}
		}, nil},
		"overload of a cold worker": {func(h *History) {
			h.Notifications = []Notification{{Worker: "s-1", State: stateActive, BootMS: 1, KnownAt: 9 * second}}
			h.Workers = []WorkerEvent{{At: 9 * second, Kind: WorkerStarted, Worker: "s-1"}}
			for range 6 {
				h.Workers = append(h.Workers, WorkerEvent{At: 10 * second, Kind: CallArrived, Worker: "s-1"})
			}
		}, []Rule{RuleSlowStart}},
		"crash": {func(h *History) { h.Dispatchers[0].Crash = "exit status 2" }, []Rule{RuleCrash}},
		"bad frame": {func(h *History) {
			h.Workers = []WorkerEvent{{At: 9 * second, Kind: FrameUnreadable, Worker: "s-1"}}
		}, []Rule{RuleFrame}},
	} {
		h := newHistory()
		test.change(h)
		var got []Rule
		for _, violation := range Check(h) {
			got = append(got, violation.Rule)
		}
		assert.Equal(t, test.want, got, name)
	}
}

// endedRequest returns a request that was sent millisBefore milliseconds before its connection ended, with open requests on the
// connection, the last of them unread or not.
func endedRequest(millisBefore, open int, unread bool) *Request {
	const ended = 11 * second
	r := newRequest(ended - time.Duration(millisBefore)*time.Millisecond)
	r.ConnEnded = ended
	r.OpenAtEnd = open
	r.EndedUnread = unread
	return r
}

// addServing adds an outage of discovery, 100 requests before it that are all served, and a number of requests late in it, as many
// of them served as the last argument says.
func addServing(h *History, requests, served int) {
	const begin, longAfter = 20 * second, 30 * second
	h.Outages = []Outage{{Kind: OutageSilent, Begin: begin, End: time.Minute}}
	h.addChanges(0, stateActive, stateActive, stateActive)
	for i := range 100 + requests {
		r := newRequest(10 * second)
		r.Outcomes = []string{wordOK}
		if i >= 100 {
			r.Sent = longAfter
		}
		if i >= 100+served {
			r.Outcomes = []string{"full"}
		}
		r.Answers = []time.Duration{r.Sent + 1}
		h.Requests = append(h.Requests, r)
	}
}

// addChanges adds a change of the endpoint list at a time for each of the first workers, to the given states.
func (h *History) addChanges(at time.Duration, states ...string) {
	for i, state := range states {
		h.ListChanges = append(h.ListChanges, ListChange{Worker: fmt.Sprint("s-", i), State: state, At: at})
	}
}

// A change that is delivered later than notificationDeadline after it happened counts as known from that limit on, and one that is
// delivered in time from its delivery on.
func TestLateChangesCountAsKnownAtTheLimit(t *testing.T) {
	f := &Fleet{dispatchers: []*dispatcherHandle{{}}, config: Config{WorkersPerProcess: 1}}
	list := newEndpointList(f)
	worker := newWorkerHandle(f, 0)
	list.first = []change{{worker: worker.members[0], state: stateActive}}
	for _, age := range []time.Duration{notificationDeadline + 3*second, second} {
		list.changes = append(list.changes, change{at: Now() - age, worker: worker.members[0], state: stateLeaving})
	}
	list.respond(httptest.NewRecorder(), 0, 1)
	assert.Equal(t, list.changes[0].at+notificationDeadline, list.notifications[0].KnownAt)
	assert.Greater(t, list.notifications[1].KnownAt, list.changes[1].at+second-1)
	assert.LessOrEqual(t, list.notifications[1].KnownAt, Now())
}

// A change that happens after a dispatcher's start list was taken counts as known notificationDeadline later, not at the start.
func TestChangeDuringAStartIsNotKnownFromIt(t *testing.T) {
	f := &Fleet{dispatchers: []*dispatcherHandle{{}}, config: Config{WorkersPerProcess: 1}}
	list := newEndpointList(f)
	worker := newWorkerHandle(f, 0)
	list.first = []change{{worker: worker.members[0], state: stateActive}}
	run := DispatcherRun{Started: Now()}
	_, changes := list.currentList(0)
	list.add(worker, stateLeaving, 0)
	list.recordStartList(0, 0, startList{changes: changes, takenAt: run.Started})
	notifications := list.allNotifications([]DispatcherRun{run})
	assert.Len(t, notifications, 2)
	assert.Equal(t, stateActive, notifications[0].State)
	assert.Equal(t, Notification{Worker: worker.members[0].uid, State: stateLeaving,
		KnownAt: list.changes[0].at + notificationDeadline}, notifications[1])
}

// Guards against a random plan that differs between two runs of the same seed, or is the same for two seeds.
func TestRandomPlanDependsOnTheSeedAlone(t *testing.T) {
	assert.Equal(t, RandomPlan(3, planLength), RandomPlan(3, planLength))
	assert.NotEqual(t, RandomPlan(3, planLength), RandomPlan(4, planLength))
}

// Quiet times are added to long outages only, and change nothing else in a plan.
func TestAddQuietTimes(t *testing.T) {
	for _, seed := range []uint64{3, 4} {
		plan := RandomPlan(seed, planLength)
		plan.AddQuietTimes()
		added := 0
		for _, fault := range plan.Faults {
			if !slices.ContainsFunc(RandomPlan(seed, planLength).Faults, func(f Fault) bool { return reflect.DeepEqual(f, fault) }) {
				assert.Equal(t, FaultQuiet, fault.Kind)
				added++
			}
		}
		assert.Equal(t, seed%longSeedPeriod == 0, added == 1, "seed %d", seed)
	}
}
