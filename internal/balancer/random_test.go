package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// playRandomEvents plays random valid events and returns the log of all events and actions.
func playRandomEvents(t testing.TB, seed uint64) []string {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	f := newFleet(t, randomSettings(rng), seed)
	f.listWorkers(6)
	for range 1500 {
		f.advance(f.now + time.Duration(rng.IntN(8))*ms)
		f.playRandomEvent(rng)
		for id, r := range f.open {
			if r.answered && !anyPending(r) {
				delete(f.open, id)
			}
		}
	}
	f.advance(f.now + 4*time.Second)
	return f.log
}

func randomBool(rng *rand.Rand) bool { return rng.IntN(2) == 0 }

func randomSettings(rng *rand.Rand) Settings {
	s := testSettings()
	s.Hedging = randomBool(rng)
	s.CanCancel = randomBool(rng)
	s.LoadOrders = rng.IntN(4) > 0
	s.LoadOnMiss = rng.IntN(4) == 0
	s.MaxAttempts = 1 + rng.IntN(5)
	s.ReportsQueueDepth = randomBool(rng)
	s.PollEndpoints = randomBool(rng)
	s.Classes[1].DedupScope = DedupScope(rng.IntN(3))
	s.Dispatchers = []int{1, 3, 100, 300}[rng.IntN(4)]
	s.ClientsMarkRetries = randomBool(rng)
	s.LiveWeights = randomBool(rng)
	if randomBool(rng) {
		s.LoadWindow, s.LoadBurst, s.LoadRatio = time.Second, 2, 0.3
	}
	if randomBool(rng) {
		s.Tenants = []Tenant{{Name: "a", Quota: 0.5, RateQuota: 5}}
	}
	return s
}

// playRandomEvent plays one event, most often a request or the end of some attempts.
func (f *testFleet) playRandomEvent(rng *rand.Rand) {
	f.t.Helper()
	switch kind := rng.IntN(20); {
	case kind < 8:
		class := f.settings.Classes[rng.IntN(3)].Name
		f.request(class, fmt.Sprintf("f%d", rng.IntN(12)), time.Duration(5+rng.IntN(1500))*ms)
	case kind < 14:
		f.endRandomAttempts(rng)
	case kind < 16:
		f.endLoads([]Status{OK, OK, OK, Rejected, Failed, TimedOut, Reset}[rng.IntN(7)])
	case kind == 16:
		w := f.workers[WorkerID(fmt.Sprintf("w%02d", rng.IntN(6)))]
		w.State = WorkerState(rng.IntN(3))
		if w.State == Ready && randomBool(rng) {
			w.Started = f.now
		}
		f.update(ScopeDelta, w)
	case kind == 17:
		if ids := f.requestIDs(); len(ids) > 0 {
			id := ids[rng.IntN(len(ids))]
			f.open[id].answered = true
			f.event(ClientGoneEvent{ID: id})
		}
	case kind == 18:
		f.playStrayEvents(rng)
	case kind == 19 && rng.IntN(10) == 0:
		f.update(ScopeFull)
		f.event(EndpointsEvent{Scope: ScopeFailed})
	case kind == 19 && len(f.state) < 3:
		f.listWorkers(6)
	}
}

// endRandomAttempts ends each pending attempt with a probability of one in four.
func (f *testFleet) endRandomAttempts(rng *rand.Rand) {
	f.t.Helper()
	statuses := []Status{OK, OK, OK, OK, OK, Miss, Rejected, Failed, Reset, ConnectFailed, NotSent}
	for _, id := range f.requestIDs() {
		for index, s := range f.open[id].sends {
			if s.pending && rng.IntN(4) == 0 {
				f.endAttempt(id, index, statuses[rng.IntN(len(statuses))])
			}
		}
	}
}

// playStrayEvents plays events that are late, repeated or about something unknown.
func (f *testFleet) playStrayEvents(rng *rand.Rand) {
	f.t.Helper()
	f.event(OutcomeEvent{ID: RequestID(rng.IntN(2000)), Attempt: 7, Worker: "nobody", Status: Status(rng.IntN(12))})
	f.event(LoadEndedEvent{Worker: "nobody", Function: "f1", Status: OK, Copies: 1})
	f.event(TimerEvent{TimerID: int64(rng.IntN(5000))})
	f.event(StreamStartedEvent{ID: 1 << 40})
}

func anyPending(r *testRequest) bool {
	for _, s := range r.sends {
		if s.pending {
			return true
		}
	}
	return false
}

func TestRandomEventsBreakNoRule(t *testing.T) {
	for seed := range uint64(60) {
		playRandomEvents(t, seed)
	}
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	for seed := range uint64(10) {
		a, b := playRandomEvents(t, seed), playRandomEvents(t, seed)
		if len(a) != len(b) {
			t.Fatalf("seed %d: two runs logged %d and %d entries", seed, len(a), len(b))
		}
		for i := range a {
			if a[i] != b[i] {
				t.Fatalf("seed %d, entry %d of the log differs between two runs:\n%s\n%s", seed, i, a[i], b[i])
			}
		}
	}
}
