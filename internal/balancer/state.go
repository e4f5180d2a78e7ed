package balancer

import (
	"errors"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// What a Balancer keeps, and arithmetic without any choice. Nothing in this file decides.

type worker struct {
	Worker
	zone                     *zone // that of its Zone
	inSlowStart, ejected     bool
	fullWeight               float64       // weight, or the largest seen where weights are live
	hash                     uint64        // of its id
	rendezvousKey            float64       // its place in the home order that is being made
	hotCalls                 float64       // own calls of hot functions that are its part
	startedAt                time.Duration // its last start
	slowStartSends           []time.Duration
	outstanding              []*attempt // pending, oldest first
	lastHeard, decreasedAt   time.Duration
	removedAt                time.Duration            // when it was removed
	lastReset                time.Duration            // when a connection to it last broke
	window                   float64                  // own requests in flight allowed
	latencyRatio             float64                  // answer time against the fleet's for the same functions
	lastOK                   map[string]time.Duration // its last answer, by class
	failureScore             map[string]float64       // evidence that it fails more than others, by class
	rejectedInARow           map[string]int           // calls turned away since the last answer, by class
	ejectedUntil             map[string]time.Duration // no call of the class before this
	objectiveRatio           float64                  // answer time against the aim
	answerTime, expectedTime decayingCount            // seconds of its answers, and what they should have been
	fullUntil                time.Duration
	probeAt, probeBackoff    time.Duration
}

// zone is what is known of all workers of one zone together.
type zone struct {
	lastHeard             time.Duration // last word of any of them
	lostTime              time.Duration // waited since then for attempts that have ended without word
	outstandingTime       time.Duration // ... and with those that are still out
	unreachable           bool
	probeAt, probeBackoff time.Duration // while it is dark
}

// placed is what is believed of one function at one worker.
type placement struct {
	worker           *worker
	copies, inFlight int
	loadedUntil      time.Duration // believed to stand till then
	noOrderUntil     time.Duration // no order before this
	ordered          bool          // an order is pending, given at orderAt
	orderedAt        time.Duration
	missed           bool
	avoidUntil       time.Duration // it turned calls away or kept silent: other places first till then
	missingUntil     time.Duration // a miss: believed not to stand till then, whatever others do
}

type function struct {
	class                 string
	id                    FunctionID
	concurrency           int
	loadTime              float64 // usual time of a load, seconds
	meanAnswer            float64 // mean answer time, seconds
	calls                 decayingCount
	demand                float64 // even shares of workers that it needs, by the crowds that its calls met
	hot                   bool
	groupStart, groupSize int // its group: this many workers from this place in home order; rare: its home
	rotation              int
	known                 bool // a call was answered, or a load came to its end
	errors                int  // before that
	lastErrorAt           time.Duration
	erroredWorkers        []*worker // that met the last of them
	rendezvous            []*worker // rendezvous order, as of epoch
	epoch, references     int       // users: open requests and pending orders
	placements            map[WorkerID]*placement
}

type attempt struct {
	index               int
	worker              *worker
	sentAt              time.Duration
	pending, mayHaveRun bool    // maybe: it has ended and may have run
	notWritten          bool    // it has ended, and was never written whole
	expected            float64 // seconds that its answer should take
}

type request struct {
	RequestEvent
	class               *Class
	function            *function
	weight              float64
	objective, deadline time.Duration
	attempts            []*attempt
	outstanding         int
	closed, streaming   bool
	earnedLoads         bool       // it counts for the ration of orders
	cancelledForRetry   bool       // its attempt was called off to make room for another
	waitingFor          *placement // the order it waits on, till waitUntil
	rotation            int        // of its function's group
	extraCandidates     int
	waitUntil           time.Duration
	excluded            map[WorkerID]bool
}

// decayed is a count that is forgotten with a time constant.
type decayingCount struct {
	value     float64
	updatedAt time.Duration
}

func (d *decayingCount) add(now time.Duration, x float64, over time.Duration) float64 {
	d.value = d.value*math.Exp(-float64(now-d.updatedAt)/float64(over)) + x
	d.updatedAt = now
	return d.value
}

// Balancer decides for one dispatcher.
type Balancer struct {
	settings                     Settings
	seed                         uint64 // the seed
	now                          time.Duration
	actions                      []Action
	classes                      map[string]*Class
	rateQuotas                   map[string]float64        // calls a second within a tenant's share
	tenantCalls                  map[string]*decayingCount // calls of each tenant
	workers                      map[WorkerID]*worker
	zones                        map[string]*zone
	ready                        []*worker // usable, sorted by id
	epoch                        int
	functions                    map[FunctionID]*function
	hotFunctions                 []*function
	hotSetUpdatedAt              time.Duration
	meanWork                     float64 // mean work of a request as told, seconds
	meanLoad                     float64 // mean load
	warmWeight                   float64 // size of all warm workers
	callsPerWorker               float64 // own calls counted, for each worker
	rareCalls                    float64 // own calls of all functions that are not hot
	requests                     map[RequestID]*request
	inFlight                     []*request // not finally answered, in order of arrival
	timerAt                      time.Duration
	timerID                      int64
	loadsInFlight                int     // load orders in flight
	loadWindow                   float64 // ... and how many are allowed
	loadWindowDecreasedAt        time.Duration
	recentOrders, recentRequests []time.Duration // rationed orders, and the requests that earn them
	retryBudget                  float64
	failureRate                  map[string]float64 // part of all attempts that fail, by class
	meanAnswer                   float64            // mean answer time of the fleet, seconds
	answerCount                  decayingCount
	polledAt                     time.Duration
	polling, failOpen            bool
	backlogged                   bool                     // requests wait for room
	longestTimeLeft              map[string]time.Duration // longest time left seen, by class
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// firstOr is the weight of a new sample in a mean: all of it for the first, else usual.
func sampleWeight(mean, usual float64) float64 {
	if mean == 0 {
		return 1
	}
	return usual
}

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unit makes a number between 0 and 1 of a hash.
func unitInterval(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }

func hashString(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

func remove[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(slices.Clone(list), func(y T) bool { return y == x })
}

// within drops the times at or before since.
func after(times []time.Duration, since time.Duration) []time.Duration {
	for len(times) > 0 && times[0] <= since {
		times = times[1:]
	}
	return times
}

func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.pending || a.mayHaveRun })
}

// came is when it came, and half when half of its time is over.
func (r *request) arrivedAt() time.Duration { return r.deadline - r.TimeLeft }
func (r *request) halfTime() time.Duration  { return r.arrivedAt() + r.TimeLeft/2 }

// written tells that an attempt has reached a worker, or may have.
func (r *request) reachedWorker() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.notWritten })
}

func sameDedupScope(g DedupScope, a, w *worker) bool {
	return g == DedupFleet || (g == DedupZone && a.Zone == w.Zone) || (g == DedupCell && a.Cell == w.Cell)
}

// New returns the balancer of one dispatcher, or an error for settings that can't work.
func New(s Settings, seed uint64) (*Balancer, error) {
	s.MaxAttempts, s.Dispatchers = max(1, s.MaxAttempts), max(1, s.Dispatchers)
	b := &Balancer{settings: s, seed: seed, failureRate: map[string]float64{}, classes: map[string]*Class{},
		rateQuotas: map[string]float64{}, tenantCalls: map[string]*decayingCount{}, longestTimeLeft: map[string]time.Duration{},
		workers: map[WorkerID]*worker{}, zones: map[string]*zone{}, functions: map[FunctionID]*function{},
		requests: map[RequestID]*request{}, loadWindow: initialLoadWindow, retryBudget: maxRetryBudget}
	least := min(s.MinEventInterval, s.AnswerGrace, s.DrainGrace, s.SlowStartDuration, s.OverloadWindow, s.IdleTTL, s.LoadTimeout,
		s.LoadWindow, s.PollTimeout, s.MaxRetryAfter, s.DialTimeout)
	for _, c := range s.Classes {
		least = min(least, c.LatencyObjective, c.Deadline, c.DedupWindow)
		b.classes[c.Name] = &c
	}
	for _, t := range s.Tenants {
		b.rateQuotas[t.Name], b.tenantCalls[t.Name] = t.RateQuota, &decayingCount{}
	}
	if len(s.Classes) == 0 || least < 0 {
		return nil, errors.New("rules: the settings name no class, or a negative time")
	}
	return b, nil
}

func (f *function) placement(w *worker) *placement {
	p := f.placements[w.ID]
	if p == nil {
		p = &placement{worker: w}
		f.placements[w.ID] = p
	}
	return p
}

func (b *Balancer) zone(name string) *zone {
	z := b.zones[name]
	if z == nil {
		z = &zone{}
		b.zones[name] = z
	}
	return z
}

// lastOf is the end of a list, so many at most.
func lastN[T any](list []T, most int) []T { return list[max(0, len(list)-most):] }

// left notes the moment at which a worker is removed.
func (b *Balancer) setState(w *worker, s WorkerState) {
	if s == Removed && w.State != Removed {
		w.removedAt = b.now
	}
	w.State = s
}

// forget drops a worker that has left, unless an order to it is still pending.
func (b *Balancer) forget(id WorkerID) {
	for _, f := range b.functions {
		if p := f.placements[id]; p != nil && p.ordered {
			return
		}
	}
	for _, f := range b.functions {
		delete(f.placements, id)
	}
	delete(b.workers, id)
}

// warm is the part of its capacity that a worker has for certain.
func (b *Balancer) warmth(w *worker) float64 {
	if !w.inSlowStart {
		return 1
	}
	age := b.now - w.startedAt
	if age >= b.settings.SlowStartDuration || b.settings.SlowStartDuration == 0 {
		w.inSlowStart, w.slowStartSends = false, nil
		return 1
	}
	return b.settings.SlowStartFloor + (1-b.settings.SlowStartFloor)*math.Max(0, float64(age))/float64(b.settings.SlowStartDuration)
}

// underWay is how long an order may take to its worker: one connection that does not come up in time, and another. The
// ration counts orders as they arrive, so what was ordered this long before its window may fall into it, and what was
// taken in its first part may have left it.
func (b *Balancer) maxOrderDelay() time.Duration {
	return min(2*b.settings.DialTimeout, b.settings.LoadWindow/2)
}

func (b *Balancer) loadedTrust() time.Duration {
	return time.Duration(loadedTrustRatio * float64(b.settings.IdleTTL))
}

func (b *Balancer) initialWindow() float64 {
	return math.Max(2, initialConcurrency/float64(b.settings.Dispatchers))
}
