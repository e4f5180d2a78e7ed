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
	zone             *zone // that of its Zone
	isCold, suspect  bool
	size             float64       // weight, or the largest seen where weights are live
	hash             uint64        // of its id
	key              float64       // its place in the home order that is being made
	hot              float64       // own calls of hot functions that are its part
	cold             time.Duration // its last start
	coldSends        []time.Duration
	out              []*attempt // pending, oldest first
	heard, shrunk    time.Duration
	leftAt           time.Duration            // when it was removed
	broke            time.Duration            // when a connection to it last broke
	window           float64                  // own requests in flight allowed
	ratio            float64                  // answer time against the fleet's for the same functions
	good             map[string]time.Duration // its last answer, by class
	bad              map[string]float64       // evidence that it fails more than others, by class
	turned           map[string]int           // calls turned away since the last answer, by class
	shut             map[string]time.Duration // no call of the class before this
	late             float64                  // answer time against the aim
	took, usual      decayed                  // seconds of its answers, and what they should have been
	fullUntil        time.Duration
	trialAt, backoff time.Duration
}

// zone is what is known of all workers of one zone together.
type zone struct {
	heard            time.Duration // last word of any of them
	lost             time.Duration // waited since then for attempts that have ended without word
	owed             time.Duration // ... and with those that are still out
	dark             bool
	trialAt, backoff time.Duration // while it is dark
}

// placed is what is believed of one function at one worker.
type placed struct {
	w                *worker
	copies, inflight int
	until            time.Duration // believed to stand till then
	avoid            time.Duration // no order before this
	ordered          bool          // an order is pending, given at orderAt
	orderAt          time.Duration
	missed           bool
	shun             time.Duration // it turned calls away or kept silent: other places first till then
	absent           time.Duration // a miss: believed not to stand till then, whatever others do
}

type function struct {
	class        string
	id           FunctionID
	lanes        int
	loadTime     float64 // usual time of a load, seconds
	answer       float64 // mean answer time, seconds
	count        decayed
	need         float64 // even shares of workers that it needs, by the crowds that its calls met
	hot          bool
	start, size  int // its group: this many workers from this place in home order; rare: its home
	turn         int
	known        bool // a call was answered, or a load came to its end
	errors       int  // before that
	errorAt      time.Duration
	doubts       []*worker // that met the last of them
	home         []*worker // rendezvous order, as of epoch
	epoch, users int       // users: open requests and pending orders
	at           map[WorkerID]*placed
}

type attempt struct {
	n              int
	w              *worker
	at             time.Duration
	pending, maybe bool    // maybe: it has ended and may have run
	unseen         bool    // it has ended, and was never written whole
	usual          float64 // seconds that its answer should take
}

type request struct {
	RequestEvent
	class           *Class
	f               *function
	worth           float64
	aim, deadline   time.Duration
	attempts        []*attempt
	out             int
	closed, started bool
	earned          bool    // it counts for the ration of orders
	called          bool    // its attempt was called off to make room for another
	wait            *placed // the order it waits on, till waitUntil
	turn            int     // of its function's group
	widened         int
	waitUntil       time.Duration
	avoid           map[WorkerID]bool
}

// decayed is a count that is forgotten with a time constant.
type decayed struct {
	n  float64
	at time.Duration
}

func (d *decayed) add(now time.Duration, x float64, over time.Duration) float64 {
	d.n = d.n*math.Exp(-float64(now-d.at)/float64(over)) + x
	d.at = now
	return d.n
}

// Balancer decides for one dispatcher.
type Balancer struct {
	set            Settings
	rng            uint64 // the seed
	now            time.Duration
	did            []Action
	classes        map[string]*Class
	allowed        map[string]float64  // calls a second within a tenant's share
	shares         map[string]*decayed // calls of each tenant
	workers        map[WorkerID]*worker
	zones          map[string]*zone
	list           []*worker // usable, sorted by id
	epoch          int
	functions      map[FunctionID]*function
	hot            []*function
	hotAt          time.Duration
	work           float64 // mean work of a request as told, seconds
	mean           float64 // mean load
	warmSize       float64 // size of all warm workers
	share          float64 // own calls counted, for each worker
	rare           float64 // own calls of all functions that are not hot
	requests       map[RequestID]*request
	open           []*request // not finally answered, in order of arrival
	wakeAt         time.Duration
	wakeRef        int64
	loads          int     // load orders in flight
	window         float64 // ... and how many are allowed
	shrunk         time.Duration
	orders, taken  []time.Duration // rationed orders, and the requests that earn them
	tokens         float64
	bad            map[string]float64 // part of all attempts that fail, by class
	answer         float64            // mean answer time of the fleet, seconds
	answers        decayed
	askAt          time.Duration
	asked, panicky bool
	short          bool                     // requests wait for room
	longest        map[string]time.Duration // longest time left seen, by class
}

func sec(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// firstOr is the weight of a new sample in a mean: all of it for the first, else usual.
func firstOr(mean, usual float64) float64 {
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
func unit(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

func without[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(slices.Clone(list), func(y T) bool { return y == x })
}

// within drops the times at or before since.
func within(times []time.Duration, since time.Duration) []time.Duration {
	for len(times) > 0 && times[0] <= since {
		times = times[1:]
	}
	return times
}

func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.pending || a.maybe })
}

// came is when it came, and half when half of its time is over.
func (r *request) came() time.Duration { return r.deadline - r.TimeLeft }
func (r *request) half() time.Duration { return r.came() + r.TimeLeft/2 }

// written tells that an attempt has reached a worker, or may have.
func (r *request) written() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.unseen })
}

func sameGroup(g DedupScope, a, w *worker) bool {
	return g == DedupFleet || (g == DedupZone && a.Zone == w.Zone) || (g == DedupCell && a.Cell == w.Cell)
}

// New returns the balancer of one dispatcher, or an error for settings that can't work.
func New(s Settings, seed uint64) (*Balancer, error) {
	s.MaxAttempts, s.Dispatchers = max(1, s.MaxAttempts), max(1, s.Dispatchers)
	b := &Balancer{set: s, rng: seed, bad: map[string]float64{}, classes: map[string]*Class{},
		allowed: map[string]float64{}, shares: map[string]*decayed{}, longest: map[string]time.Duration{},
		workers: map[WorkerID]*worker{}, zones: map[string]*zone{}, functions: map[FunctionID]*function{},
		requests: map[RequestID]*request{}, window: loadStart, tokens: retryBurst}
	least := min(s.MinEventInterval, s.AnswerGrace, s.DrainGrace, s.SlowStartDuration, s.OverloadWindow, s.IdleTTL, s.LoadTimeout,
		s.LoadWindow, s.PollTimeout, s.MaxRetryAfter, s.DialTimeout)
	for _, c := range s.Classes {
		least = min(least, c.LatencyObjective, c.Deadline, c.DedupWindow)
		b.classes[c.Name] = &c
	}
	for _, t := range s.Tenants {
		b.allowed[t.Name], b.shares[t.Name] = t.RateQuota, &decayed{}
	}
	if len(s.Classes) == 0 || least < 0 {
		return nil, errors.New("rules: the settings name no class, or a negative time")
	}
	return b, nil
}

func (f *function) where(w *worker) *placed {
	p := f.at[w.ID]
	if p == nil {
		p = &placed{w: w}
		f.at[w.ID] = p
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
func lastOf[T any](list []T, most int) []T { return list[max(0, len(list)-most):] }

// left notes the moment at which a worker is removed.
func (b *Balancer) left(w *worker, s WorkerState) {
	if s == Removed && w.State != Removed {
		w.leftAt = b.now
	}
	w.State = s
}

// forget drops a worker that has left, unless an order to it is still pending.
func (b *Balancer) forget(id WorkerID) {
	for _, f := range b.functions {
		if p := f.at[id]; p != nil && p.ordered {
			return
		}
	}
	for _, f := range b.functions {
		delete(f.at, id)
	}
	delete(b.workers, id)
}

// warm is the part of its capacity that a worker has for certain.
func (b *Balancer) warm(w *worker) float64 {
	if !w.isCold {
		return 1
	}
	age := b.now - w.cold
	if age >= b.set.SlowStartDuration || b.set.SlowStartDuration == 0 {
		w.isCold, w.coldSends = false, nil
		return 1
	}
	return b.set.SlowStartFloor + (1-b.set.SlowStartFloor)*math.Max(0, float64(age))/float64(b.set.SlowStartDuration)
}

// underWay is how long an order may take to its worker: one connection that does not come up in time, and another. The
// ration counts orders as they arrive, so what was ordered this long before its window may fall into it, and what was
// taken in its first part may have left it.
func (b *Balancer) underWay() time.Duration { return min(2*b.set.DialTimeout, b.set.LoadWindow/2) }

func (b *Balancer) trust() time.Duration { return time.Duration(keepTrust * float64(b.set.IdleTTL)) }

func (b *Balancer) firstWindow() float64 { return math.Max(2, windowStart/float64(b.set.Dispatchers)) }
