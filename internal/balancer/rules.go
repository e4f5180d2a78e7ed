package balancer

// Types are in api.go (settings, events, actions) and state.go (what is kept). What decides is here, and in
// health.go as far as it judges workers.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	hotSet      = 10                     // H: at most this many functions are hot (the design's default) ...
	hotPart     = 4                      // ... or one for this many workers, where that is more
	spreadOver  = 1.5                    // a hot function's group has this multiple of its part of the workers
	groupLeast  = 3                      // ... and this many at least
	groupTries  = 5                      // a newly hot function looks at this many places for its group
	countWindow = 10 * time.Second       // calls are forgotten with this time constant
	hotEnter    = 1.0                    // hot from this part of a worker's even share of calls, down to half
	hotLeast    = 6.0                    // ... but never on fewer calls than this, counted times dispatchers
	crowdWeight = 2.0                    // own calls counted a worker that weigh as much as the crowds met
	ownEnough   = 3.0                    // own calls counted a worker from which on they judge workers ...
	manyPeers   = 10                     // ... and always where there are fewer dispatchers than this
	mostWidened = 3                      // places beyond its group where a request looks
	sureUse     = 3.0                    // expected calls within the idle time by which a copy is taken to stand
	askAgain    = time.Second            // the list is asked for again this long after a failure
	hotEvery    = 250 * time.Millisecond // how often the hot set is looked at
	sweepEvery  = 10 * time.Millisecond  // how often waiting requests and silent workers are looked at
	skipOver    = 1.5                    // a worker is passed over above this multiple of the mean load ...
	skipSlack   = 1.5                    // ... plus this many requests, or while it is slow
	smooth      = 0.1                    // weight of a new sample in every running mean
	retryShare  = 0.2                    // second copies and repeats, as a part of the requests taken
	retryBurst  = 20.0                   // ... and as many at once
	strangeMost = 3                      // so many errors before any answer: nobody knows the function ...
	strangeRest = 5 * time.Second        // ... and it is not tried again for this long
	keepTrust   = 0.6                    // a copy is believed to stand for this part of its idle time
	loadStart   = 4.0                    // load orders in flight at the start
	loadUsual   = 1.0                    // seconds that a load takes, till one has been seen
	loadSlow    = 1.5                    // a load this many times slower than usual cuts their number ...
	loadCut     = 0.5                    // ... to this part ...
	loadLeast   = 2.0                    // ... and this many at the least
	coldMargin  = 3.0                    // standard deviations of chance kept clear of the cold budget
	windowStart = 12.0                   // in flight to a worker from all dispatchers at first; half at least
	lateTarget  = 0.3                    // a window shrinks when answers take more of the aim than this
)

// Handle takes one event at time now and returns what to do, in order.
func (b *Balancer) Handle(now time.Duration, e Event) []Action {
	b.now, b.did = now, nil
	if b.set.PollEndpoints && !b.asked && (b.wakeRef == 0 || b.now-b.askAt > askAgain) {
		b.asked, b.askAt = true, b.now
		b.do(Watch{On: true})
	}
	switch e := e.(type) {
	case EndpointsEvent:
		b.onList(e)
	case RequestEvent:
		b.onRequest(e)
	case OutcomeEvent:
		b.onOutcome(e)
	case StreamStartedEvent:
		b.close(b.requests[e.ID], true)
	case ClientGoneEvent:
		b.close(b.requests[e.ID], false)
	case LoadEndedEvent:
		b.onLoaded(e)
	case TimerEvent:
		if e.TimerID == b.wakeRef {
			b.wakeAt = 0
			b.sweep()
		}
	}
	b.arm()
	return b.did
}

func (b *Balancer) do(a Action) { b.did = append(b.did, a) }

// arm keeps one timer: short while requests are open, else at the pace of the hot set.
func (b *Balancer) arm() {
	after := hotEvery
	if len(b.open) > 0 {
		after = sweepEvery
	}
	if b.wakeAt == 0 || b.wakeAt > b.now+after {
		b.wakeAt = b.now + after
		b.wakeRef++
		b.do(SetTimer{After: after, TimerID: b.wakeRef})
	}
}

func (b *Balancer) onList(e EndpointsEvent) {
	if e.Scope == ScopeFailed {
		b.asked, b.askAt = false, b.now
		return
	}
	if e.Scope != ScopeDelta {
		for _, w := range b.workers {
			b.left(w, Removed)
		}
	}
	for _, l := range e.Workers {
		w := b.workers[l.ID]
		if w == nil {
			w = &worker{hash: hash(string(l.ID)), bad: map[string]float64{}, turned: map[string]int{},
				shut: map[string]time.Duration{}, good: map[string]time.Duration{}, window: b.firstWindow(), ratio: 1}
			b.workers[l.ID] = w
		}
		if l.Weight <= 0 {
			l.Weight = 1
		}
		if w.size = max(w.size, l.Weight); !b.set.LiveWeights {
			w.size = l.Weight
		}
		fresh := l.Started > w.Started
		b.left(w, l.State)
		w.Worker, w.zone = l, b.zone(l.Zone)
		if fresh {
			b.restarted(w, l.Started)
		}
	}
	b.list = b.list[:0]
	for _, w := range b.workers {
		if w.State == Ready {
			b.list = append(b.list, w)
		}
	}
	slices.SortFunc(b.list, func(v, w *worker) int { return cmp.Compare(v.ID, w.ID) })
	b.epoch++
}

// restarted notes a fresh start: the worker is cold and holds nothing.
func (b *Balancer) restarted(w *worker, at time.Duration) {
	w.cold, w.isCold, w.coldSends = at, true, nil
	w.suspect, w.ratio, w.late, w.window = false, 1, 0, b.firstWindow()
	w.took, w.usual = decayed{}, decayed{}
	clear(w.turned)
	clear(w.shut)
	for _, f := range b.functions {
		if p := f.at[w.ID]; p != nil {
			p.copies, p.until = 0, 0
		}
	}
}

// load is the requests at a worker, by this dispatcher's knowledge, for its present capacity.
func (b *Balancer) load(w *worker) float64 {
	return float64(len(w.out)) * float64(b.set.Dispatchers) / b.capacity(w)
}

func (b *Balancer) capacity(w *worker) float64 {
	return w.size * b.warm(w) / math.Max(1, w.ratio)
}

// homeOrder is the weighted rendezvous order of a function's workers; the first is its home.
func (b *Balancer) homeOrder(f *function) []*worker {
	if f.epoch != b.epoch {
		f.epoch = b.epoch
		f.home = append(f.home[:0], b.list...)
		h := hash(string(f.id))
		for _, w := range f.home {
			w.key = -math.Log(unit(mix(h^w.hash))) / w.size
		}
		slices.SortStableFunc(f.home, func(v, w *worker) int { return cmp.Compare(v.key, w.key) })
	}
	return f.home
}

// member is the i-th worker for a function: its group from a turn on, then onward in home order.
func (b *Balancer) member(f *function, turn, i int) *worker {
	home := b.homeOrder(f)
	if size := min(f.size, len(home)); i < size {
		i = (turn + i) % size
	}
	return home[(f.start+i)%len(home)]
}

// updateHot ranks the functions and promotes or demotes them.
func (b *Balancer) updateHot() {
	b.hotAt, b.warmSize = b.now, 0
	for _, w := range b.list {
		if w.hot = 0; b.warm(w) >= 1 {
			b.warmSize += w.size
		}
		for c := range w.bad {
			w.bad[c] *= 1 - smooth/4 // a second chance comes by itself
		}
	}
	for id, w := range b.workers { // one that comes back by now would be warm, or have a new start
		if w.State == Removed && len(w.out) == 0 && b.now-w.leftAt > b.set.SlowStartDuration+b.set.OverloadWindow {
			b.forget(id)
		}
	}
	var ranked []*function
	total := 0.0
	for id, f := range b.functions {
		if f.count.add(b.now, 0, countWindow) >= smooth*smooth || f.users > 0 {
			ranked = append(ranked, f)
		} else {
			delete(b.functions, id)
		}
	}
	slices.SortFunc(ranked, func(v, w *function) int {
		return cmp.Or(cmp.Compare(w.count.n, v.count.n), cmp.Compare(v.id, w.id))
	})
	for _, f := range ranked {
		total += f.count.n
	}
	n := len(b.list)
	b.share, b.rare, b.hot = total/float64(max(1, n)), total, b.hot[:0]
	for i, f := range ranked {
		if most := max(hotSet, n/hotPart); i >= most+most/4 || i >= most && !f.hot {
			f.hot, f.start, f.size = false, 0, 1
		} else if b.heat(f); f.hot {
			for j := range min(f.size, n) {
				b.member(f, 0, j).hot += f.count.n / float64(f.size)
			}
			b.rare -= f.count.n
			b.hot = append(b.hot, f)
		}
	}
}

// heat tells whether a function is hot and the size of its group, by own counts and the crowds its calls met.
func (b *Balancer) heat(f *function) {
	was, prior := f.hot, 0.0
	if b.set.ReportsQueueDepth {
		prior = crowdWeight
	}
	part := (math.Max(0, f.count.n-1) + prior*f.need) / math.Max(b.share+prior, 1e-6)
	f.hot = len(b.list) > 0 && f.count.n*float64(b.set.Dispatchers) >= hotLeast &&
		(part >= hotEnter || was && part >= hotEnter/2)
	if !f.hot {
		f.start, f.size = 0, 1
		return
	}
	f.size = min(len(b.list), max(groupLeast, int(math.Ceil(spreadOver*part))))
	if !was {
		f.start = b.leastLoaded(f)
		f.turn = int(mix(b.rng+uint64(b.now)) % 1024)
	}
}

// thin tells that own calls are too few to judge single workers by, and only a small part of all.
func (b *Balancer) thin() bool {
	return b.share < ownEnough && b.set.Dispatchers >= manyPeers
}

// leastLoaded finds the place of a group with the least hot load; ties within the noise of counts go by home.
func (b *Balancer) leastLoaded(f *function) int {
	best, least := 0, 0.0
	last := min(len(b.list), groupTries*f.size) - f.size
	for start := 0; start == 0 || start <= last && !b.thin(); start += f.size {
		load := 0.0
		for j := range f.size {
			load += b.homeOrder(f)[(start+j)%len(b.list)].hot
		}
		if start == 0 || load+math.Sqrt(load+least) < least {
			best, least = start, load
		}
	}
	return best
}

// stands tells that a copy is believed to stand, by own calls.
func (b *Balancer) stands(p *placed) bool {
	return p.copies > 0 && (b.now < p.until || p.inflight > 0)
}

// used tells that all dispatchers' calls must keep a copy at each worker of the group, where own are few.
func (b *Balancer) used(f *function) bool {
	own := math.Max(f.count.n-1, smooth) * b.set.IdleTTL.Seconds() / countWindow.Seconds() / float64(f.size)
	return b.thin() && (f.hot || own*float64(b.set.Dispatchers) >= sureUse)
}

// lastTry tells that a request's next attempt is its last: four misses in a few ms would end it at once, so
// that one is kept for a place where a copy stands or has been ordered.
func (b *Balancer) lastTry(r *request) bool {
	return b.set.LoadOrders && !b.set.LoadOnMiss && len(r.attempts) > 0 && len(r.attempts)+1 >= b.set.MaxAttempts
}

// strange tells that nobody knows a function, as far as this dispatcher has heard: its calls and loads met
// errors only. Any client can name such a function; to try it again and again would use up the ration.
func (b *Balancer) strange(f *function) bool {
	return !f.known && f.errors >= strangeMost && b.now-f.errorAt < strangeRest
}

// erred notes an error for a function, and tells whether that says something of the worker or the store.
func (b *Balancer) erred(f *function) bool {
	if !f.known {
		f.errors, f.errorAt = f.errors+1, b.now
	}
	return f.known
}

// ordersFirst tells whether a copy not believed to stand is ordered before a request goes there.
func (b *Balancer) ordersFirst(p *placed) bool {
	return b.set.LoadOrders && !b.set.LoadOnMiss && (b.set.LoadWindow == 0 || p.missed)
}

// order is the one place that emits Load. It keeps the drain rule and the ration, and paces by the window.
func (b *Balancer) order(f *function, p *placed, copies int, allowed float64) bool {
	if p.ordered || !b.set.LoadOrders || b.strange(f) || f.id == "" || p.w.State != Ready || b.now < p.avoid ||
		float64(b.loads) >= allowed {
		return false
	}
	if b.set.LoadWindow > 0 {
		b.orders = within(b.orders, b.now-b.set.LoadWindow-b.underWay())
		b.taken = within(b.taken, b.now-b.set.LoadWindow+b.underWay())
		if float64(len(b.orders)+1) > b.set.LoadBurst+b.set.LoadRatio*float64(len(b.taken)) {
			return false
		}
		b.orders = append(b.orders, b.now)
	}
	f.users++
	p.ordered, p.orderAt = true, b.now
	b.loads++
	b.do(Load{Worker: p.w.ID, Function: f.id, Copies: min(copies, 16), StartWithin: b.underWay()})
	return true
}

// earn counts a request for the ration of orders, at the time when it came, once a worker has taken it for
// one. Clients send by hundreds what they take back at once, or what no worker knows: these earn no orders.
func (b *Balancer) earn(r *request) {
	if r.earned || b.set.LoadWindow == 0 {
		return
	}
	r.earned = true
	i, _ := slices.BinarySearch(b.taken, r.came())
	b.taken = slices.Insert(b.taken, i, r.came())
}

func (b *Balancer) onLoaded(e LoadEndedEvent) {
	f, w := b.functions[e.Function], b.workers[e.Worker]
	if f == nil || w == nil || !f.where(w).ordered {
		return
	}
	p := f.where(w)
	p.ordered = false
	f.users--
	b.loads--
	p.copies = e.Copies
	took, usual := e.Elapsed.Seconds(), f.loadTime
	slow := (e.Status != Failed || b.erred(f)) && (e.Status != OK || took > loadSlow*usual)
	if e.Status == OK {
		b.heard(w)
		f.known = true
		p.missed, p.until, p.absent = false, b.now+b.trust(), 0
		b.window += 1 / b.window
		if took > usual*smooth { // less: it stood already
			f.loadTime += (took - usual) * smooth
		}
	} else if p.avoid = b.now + sec(usual); e.Status == Reset {
		b.broken(w)
	} else if e.Status == ConnectFailed {
		b.suspect(w)
	}
	if slow && b.now-b.shrunk > sec(usual/2) {
		b.shrunk, b.window = b.now, math.Max(loadLeast, b.window*loadCut)
	}
	b.resume(func(r *request) bool { return r.wait == p })
}

// resume places the requests that waited for what has come.
func (b *Balancer) resume(waits func(*request) bool) {
	for _, r := range slices.Clone(b.open) {
		if waits(r) {
			r.wait = nil
			b.place(r)
		}
	}
}

// ordersAhead puts missing copies of hot functions on their group, one order a function at a time.
func (b *Balancer) ordersAhead() {
	for _, f := range b.hot {
		var next *placed
		if b.used(f) {
			continue
		}
		for i := range min(f.size, len(b.list)) {
			p := f.where(b.member(f, 0, i))
			if p.ordered {
				next = nil
				break
			}
			if next == nil && !b.stands(p) && b.ordersFirst(p) && !b.silent(p.w) && b.now >= p.avoid &&
				p.w.turned[f.class] < turnedMost {
				next = p
			}
		}
		if next != nil {
			b.order(f, next, 1, b.window)
		}
	}
}

func (b *Balancer) onRequest(e RequestEvent) {
	if b.requests[e.ID] != nil {
		return
	}
	c := b.classes[e.Class]
	if c == nil {
		c = &Class{Name: e.Class, Weight: 1, LatencyObjective: e.TimeLeft, Deadline: e.TimeLeft, Idempotency: NotIdempotent}
	}
	f := b.functions[e.Function]
	if f == nil {
		f = &function{id: e.Function, epoch: -1, size: 1, at: map[WorkerID]*placed{}}
		b.functions[e.Function] = f
	}
	f.lanes = max(1, e.Concurrency)
	if f.loadTime == 0 {
		f.loadTime = cmp.Or(e.LoadTime.Seconds(), loadUsual)
	}
	part := 1.0 // a call counts by its work, where that is told
	if work := e.WorkEstimate.Seconds(); work > 0 {
		b.work += (work - b.work) * firstOr(b.work, smooth/4)
		part = min(work/b.work, 1/smooth)
	}
	f.class = c.Name
	f.count.add(b.now, part, countWindow)
	b.heat(f)
	f.users++
	f.turn++
	r := &request{RequestEvent: e, class: c, f: f, turn: f.turn, deadline: b.now + e.TimeLeft, worth: c.Weight,
		avoid: map[WorkerID]bool{}}
	r.aim = b.now + min(e.TimeLeft, c.LatencyObjective+time.Duration(c.ObjectiveStretch*float64(e.WorkEstimate)))
	if t, most := b.shares[e.Tenant], b.allowed[e.Tenant]; most > 0 &&
		t.add(b.now, 1, countWindow)/countWindow.Seconds()*float64(b.set.Dispatchers) > most {
		r.worth *= b.set.OverQuotaWeight
	}
	b.longest[c.Name] = max(b.longest[c.Name], e.TimeLeft)
	if e.Retry { // what the first try waited is not told; most likely the aim has passed
		r.worth *= (1 + c.LateWeight) / 2
	}
	if (e.Retry || !b.set.ClientsMarkRetries) && e.TimeLeft < b.longest[c.Name]*31/32 { // the deadline cut it short
		r.aim -= c.Deadline - e.TimeLeft
	}
	b.tokens = math.Min(retryBurst, b.tokens+retryShare)
	b.requests[e.ID] = r
	b.open = append(b.open, r)
	if !b.short || r.aim > b.now || b.over(r) { // over: the next sweep could come too late for its answer
		b.place(r)
	}
}

// place finds a request without a pending attempt its next step: a send, a wait for an order, or its end.
func (b *Balancer) place(r *request) {
	if len(r.attempts) >= b.set.MaxAttempts || b.over(r) || b.strange(r.f) ||
		(r.mayHaveRun() && r.class.Idempotency == NotIdempotent) ||
		r.Retry && b.now+sec(r.f.answer) > r.deadline { // its client would be gone before the usual answer
		b.end(r)
		return
	}
	if w, ready := b.pick(r, false); ready {
		b.send(r, w)
	} else if w != nil { // else held: the sweep tries again
		if p := r.f.where(w); b.order(r.f, p, 1, 2*b.window) || p.ordered {
			r.wait, r.waitUntil = p, p.orderAt+sec(2*r.f.loadTime)
		} else if b.now >= p.absent && !b.lastTry(r) { // no order to be had: another dispatcher may have given one
			p.absent = b.now + sec(2*r.f.loadTime)
			b.send(r, w)
		}
	}
}

// over tells that no new attempt could end in time.
func (b *Balancer) over(r *request) bool { return b.now+2*sweepEvery >= r.deadline }

// pick chooses a worker: hot functions take their group in turn, rare ones go home or onward. The second
// result tells that the request may go now; otherwise the worker is where a copy should be ordered.
func (b *Balancer) pick(r *request, standing bool) (*worker, bool) {
	f := r.f
	var empty, crowded, best *worker
	held, used, seen, least := false, b.used(f), 0, 0.0
	for i := range b.list {
		w := b.member(f, r.turn, i)
		if w.isCold && b.set.Dispatchers >= manyPeers && (f.size == 1 || i+len(r.attempts) > 0) { // beyond the lot
			continue
		}
		if !b.mayGo(r, w) || !b.sound(r, w) {
			continue
		}
		if seen++; b.thin() && seen > f.size+r.widened+1 {
			break
		}
		p, skip := f.where(w), b.skip(w)
		shun := b.now < p.shun && b.thin()
		if ready := b.stands(p) || !b.ordersFirst(p) && !b.lastTry(r) ||
			i < f.size+r.widened && used && !w.isCold && b.now >= p.absent; !ready {
			if empty == nil && !skip && b.now >= p.avoid && (seen <= f.size+1 || !b.thin()) {
				empty = w
			}
		} else if !skip && !shun {
			best = w
			break
		} else if held = held || !shun; b.now >= w.fullUntil && float64(len(w.out)) < w.window {
			if wait := (1 + b.load(w)) * b.slow(w); crowded == nil || wait < least {
				crowded, least = w, wait
			}
		}
	}
	if b.thin() && best == nil && !standing {
		if held && r.widened < mostWidened && f.size+r.widened < len(b.list) {
			r.widened += max(1, f.size/4)
			return b.pick(r, standing)
		}
		if empty != nil && crowded == nil {
			return empty, false
		}
	}
	best = cmp.Or(best, crowded)
	if best == nil && !held && !standing {
		return empty, false
	}
	if empty != nil && !standing { // a better place lacks a copy: have it there next time
		b.order(f, f.where(empty), 1, b.window)
	}
	return best, best != nil
}

// skip tells that a worker is passed over for now: it answered full, or holds many requests for its size.
func (b *Balancer) skip(w *worker) bool {
	return b.now < w.fullUntil || float64(len(w.out)) >= w.window || b.slow(w) > slowOver ||
		b.load(w) > skipOver*b.mean+skipSlack*float64(b.set.Dispatchers)/b.capacity(w)
}

// sound leaves out who fails more of the class than the fleet or turns all of it away. A suspect gets one
// safe request as its trial.
func (b *Balancer) sound(r *request, w *worker) bool {
	class := r.class.Name
	limit := b.badLimit()
	if r.class.Idempotency == NotIdempotent {
		limit *= badUnsafe
	}
	return !r.avoid[w.ID] && b.now >= w.shut[class] && w.bad[class] <= limit &&
		(!b.silent(w) || b.panicky || r.class.Idempotency == Idempotent && b.now >= max(w.trialAt, w.zone.trialAt) &&
			len(w.out) == 0 && len(r.attempts)+1 < b.set.MaxAttempts)
}

// mayGo holds the rules on what may be sent where: drains, repeats, cold workers, attempts and time.
func (b *Balancer) mayGo(r *request, w *worker) bool {
	if r.closed || w.State != Ready || len(r.attempts) >= b.set.MaxAttempts || b.over(r) ||
		r.out > 0 && !b.set.Hedging || r.class.Idempotency == NotIdempotent && r.mayHaveRun() {
		return false
	}
	for _, a := range r.attempts {
		if r.class.Idempotency == IdempotentWithKey && (a.pending || a.maybe) &&
			(b.now-a.at >= r.class.DedupWindow || !sameGroup(r.class.DedupScope, a.w, w)) {
			return false
		}
	}
	return b.coldRoom(r, w)
}

// coldRoom tells that a cold worker may be sent a request now: this dispatcher's share of the multiple of its
// present capacity, judged by what warm workers answer, less a margin for chance. A share below one is dealt
// by lot, among all requests that all dispatchers are likely to send there.
func (b *Balancer) coldRoom(r *request, w *worker) bool {
	warm, peers, span := b.warm(w), float64(b.set.Dispatchers), b.set.OverloadWindow.Seconds()
	if warm >= 1 {
		return true
	}
	w.coldSends = within(w.coldSends, b.now-b.set.OverloadWindow)
	rate := 1 / math.Max(cmp.Or(b.answer, r.class.LatencyObjective.Seconds()), smooth*smooth)
	if b.warmSize > 0 {
		rate = math.Max(rate, peers*b.answers.add(b.now, 0, countWindow)/countWindow.Seconds()*w.size/b.warmSize)
	}
	budget := b.set.OverloadMultiple * warm * rate * span
	budget += coldMargin * (coldMargin/2 - math.Sqrt(budget+coldMargin*coldMargin/4)) // what chance may add
	if float64(len(w.coldSends)+1) > math.Max(1, budget/peers) {
		return false
	}
	flow := math.Max(b.share, w.hot+b.rare/float64(len(b.list)))
	if !r.f.hot {
		flow += math.Max(r.f.count.n-1, r.f.need*b.share)
	}
	lot := unit(w.hash ^ mix(b.rng+uint64(r.ID)))
	return budget >= peers || lot*peers*flow/countWindow.Seconds()*span < budget
}

// send is the one place that emits Send.
func (b *Balancer) send(r *request, w *worker) {
	if !b.mayGo(r, w) {
		return
	}
	var limit, within time.Duration
	for _, a := range r.attempts { // it may wait for a connection: by then a repeat would run
		if left := a.at + r.class.DedupWindow - b.now; r.class.Idempotency == IdempotentWithKey && (a.pending || a.maybe) &&
			(within == 0 || left < within) {
			within = left
		}
	}
	if r.class.Idempotency != NotIdempotent && !b.set.Hedging && !b.set.CanCancel {
		limit = (r.deadline - b.now) / 2
	}
	a := &attempt{n: len(r.attempts), w: w, at: b.now, pending: true, usual: b.answer}
	if work := r.WorkEstimate.Seconds(); work > 0 {
		a.usual *= (1 + work/b.work) / 2
	}
	if b.silent(w) {
		b.trial(w)
	}
	if w.turned[r.class.Name] >= turnedMost {
		b.shutFor(w, r.class.Name)
	}
	r.attempts, r.wait = append(r.attempts, a), nil
	r.out++
	w.out = append(w.out, a)
	if b.warm(w) < 1 {
		w.coldSends = append(w.coldSends, b.now)
	}
	r.f.where(w).inflight++
	b.do(Send{ID: r.ID, Worker: w.ID, Timeout: limit, StartWithin: within})
}

// end is the one place that emits Refuse, where that is harmless, and Fail; not while an attempt is out.
func (b *Balancer) end(r *request) {
	if r.closed || r.out > 0 {
		return
	}
	if !r.mayHaveRun() || r.class.Idempotency == Idempotent || (r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupFleet) {
		b.do(Reject{ID: r.ID, RetryAfter: b.comeBack(r)})
	} else {
		b.do(Fail{ID: r.ID})
	}
	b.close(r, false)
}

// comeBack is the advice of a refusal: by then the copy that was lacking usually stands.
func (b *Balancer) comeBack(r *request) time.Duration {
	if !b.set.SendRetryAfter {
		return 0
	}
	return min(sec(2*r.f.loadTime), b.set.MaxRetryAfter)
}

// close ends what is owed for a request; attempts still out are called off, but for a stream that has begun.
func (b *Balancer) close(r *request, streaming bool) {
	if r == nil {
		return
	}
	r.started = r.started || streaming
	if !r.closed {
		r.closed, r.wait = true, nil
		r.f.users--
		b.open = without(b.open, r)
	}
	if r.out == 0 {
		delete(b.requests, r.ID)
	} else if b.set.CanCancel && !r.started {
		for _, a := range r.attempts {
			if a.pending {
				b.do(Cancel{ID: r.ID, Attempt: a.n})
			}
		}
	}
}

func (b *Balancer) onOutcome(e OutcomeEvent) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].pending {
		return
	}
	a := r.attempts[e.Attempt]
	w, p := a.w, r.f.where(a.w)
	a.pending = false
	r.out--
	p.inflight--
	w.out = without(w.out, a)
	class := r.class.Name
	took := e.Elapsed.Seconds()
	if e.Status == OK || took > a.usual && (e.Status == TimedOut || e.Status == Cancelled) {
		w.took.add(b.now, took, slowSpan)
		w.usual.add(b.now, a.usual, slowSpan)
	}
	if e.Status == Failed && !b.erred(r.f) {
		r.f.doubts = append(lastOf(r.f.doubts, strangeMost-1), w) // its own fault, if another answers
	} else if e.Status != Reset || b.broken(w) {
		b.judge(w, class, map[Status]float64{Failed: 1, TimedOut: 1, Reset: badBreak}[e.Status])
	}
	if e.Status == Failed { // quick or not, it is there
		b.heard(w)
	} else if e.Status == ConnectFailed || e.Status == TimedOut {
		w.zone.lost += b.owed(w.zone, e.Elapsed)
	}
	a.unseen = e.Status == ConnectFailed || e.Status == NotSent
	a.maybe = !a.unseen && e.Status != Rejected && e.Status != Miss
	if e.Status == OK || e.Status == Rejected || e.Status == Miss {
		b.earn(r)
	}
	switch e.Status {
	case OK:
		b.answered(r, p, e)
	case Rejected:
		b.alive(w)
		b.crowded(r.f, e.QueueDepth)
		if w.turned[class]++; w.turned[class] < turnedMost {
			w.fullUntil = b.now + sec(b.answer/2)
			b.shrink(w)
		} else { // nothing of this class gets in there, whatever its load
			b.shutFor(w, class)
		}
	case Miss:
		b.alive(w)
		if p.copies > 0 && e.Warmth != WarmthLoadFailed { // released anew or unloaded: the other copies are in doubt
			for _, o := range r.f.at {
				o.until = min(o.until, b.now)
			}
		}
		p.copies, p.missed, p.until, p.absent = 0, true, 0, b.now+sec(2*r.f.loadTime)
		if !b.set.LoadOrders || e.Warmth == WarmthLoadFailed {
			p.avoid = b.now + sec(r.f.loadTime)
		} else if r.f.hot && r.f.size > 1 {
			b.order(r.f, p, 1, b.window)
		}
	case ConnectFailed:
		b.suspect(w)
	case TimedOut, Cancelled: // a client that soon takes its request back says nothing of the worker
		if b.now-w.heard > e.Elapsed && e.Elapsed >= sec(silentAfter*b.answer) && (b.answer > 0 || e.Status == TimedOut) {
			b.suspect(w)
		}
	}
	if r.called = false; e.Answered || r.closed {
		b.close(r, false)
		return
	}
	if e.Status != Miss && e.Status != OK {
		r.avoid[w.ID], p.shun = true, b.now+b.trust()
	}
	if r.out > 0 {
		return
	}
	if a.maybe {
		b.tokens--
	}
	if b.tokens >= 0 {
		b.place(r)
	} else {
		b.tokens = 0
		b.end(r)
	}
}

func (b *Balancer) answered(r *request, p *placed, e OutcomeEvent) {
	w, f := p.w, r.f
	b.alive(w)
	w.turned[r.class.Name], w.good[r.class.Name] = w.turned[r.class.Name]/2, b.now
	for _, o := range f.doubts {
		b.judge(o, f.class, 1)
	}
	f.known, f.doubts = true, nil
	p.copies, p.missed, p.until, p.absent = max(p.copies, 1), false, b.now+b.trust(), 0
	took := e.Elapsed.Seconds()
	f.answer, b.answer = cmp.Or(f.answer, took), cmp.Or(b.answer, took)
	w.ratio += (math.Min(took/math.Max(f.answer, 1e-6), 10) - w.ratio) * smooth
	f.answer += (took - f.answer) * smooth
	b.answer += (took - b.answer) * smooth / 4
	b.answers.add(b.now, 1, countWindow)
	w.late += (took/math.Max(r.class.LatencyObjective.Seconds(), 1e-6) - w.late) * smooth
	if w.late > lateTarget {
		b.shrink(w)
	} else if float64(len(w.out)+2) >= w.window {
		w.window += 1 / w.window
	}
	b.crowded(f, e.QueueDepth)
	if b.set.ReportsQueueDepth && e.QueueDepth >= f.lanes*p.copies && p.copies < 16 && b.stands(p) {
		b.order(f, p, p.copies+1, b.window)
	}
}

// crowded learns how many workers a function needs from the calls for it that a worker held.
func (b *Balancer) crowded(f *function, crowd int) {
	each := b.share / countWindow.Seconds() * float64(b.set.Dispatchers) * b.answer // held by a worker on average
	if b.set.ReportsQueueDepth && each > 0 {
		f.need += (float64(f.size*crowd)/each - f.need) / float64(1+f.size) // the wider, the noisier
	}
}

func (b *Balancer) shrink(w *worker) {
	if b.now-w.shrunk > sec(b.answer) {
		w.shrunk = b.now
		w.window = math.Max(b.firstWindow()/2, math.Min(w.window, float64(len(w.out)+2))*0.8)
	}
}

// sweep looks after silent workers, waiting requests, second copies and the hot set.
func (b *Balancer) sweep() {
	if b.now-b.hotAt >= hotEvery {
		b.updateHot()
	}
	b.lookAfter()
	waiting := []*request{}
	for _, r := range slices.Clone(b.open) {
		switch {
		case r.out > 0:
			b.second(r)
		case b.over(r):
			b.end(r)
		case b.now+sweepEvery > r.half() && !r.written():
			b.decide(r)
		case r.wait == nil:
			waiting = append(waiting, r)
		case !r.wait.ordered || b.now > r.waitUntil || r.wait.w.State != Ready || b.silent(r.wait.w):
			r.avoid[r.wait.w.ID], r.wait = true, nil
			waiting = append(waiting, r)
		}
	}
	b.short = false
	slices.Reverse(waiting) // newest first: under overload some are then served well, rather than all late
	slices.SortStableFunc(waiting, func(q, r *request) int { return cmp.Compare(b.value(r), b.value(q)) })
	for _, r := range waiting {
		if b.now+sec(r.f.answer) > r.aim && len(b.list) > 0 {
			b.end(r)
			continue
		}
		b.place(r)
		b.short = b.short || !r.closed && r.out == 0 && r.wait == nil
	}
	b.ordersAhead()
}

// decide ends the wait of a request that no worker has seen by half of its time: later its refusal costs
// more. It goes where a load that it waits for is under way, and waits there; else it is given up.
func (b *Balancer) decide(r *request) {
	if p := r.wait; p != nil && p.ordered && b.mayGo(r, p.w) && b.sound(r, p.w) {
		b.send(r, p.w)
	} else {
		b.end(r)
	}
}

// value is what an answer would earn for each second of work, if sent now.
func (b *Balancer) value(r *request) float64 {
	if b.set.WeightByWork {
		return r.worth
	}
	return r.worth / cmp.Or(r.f.answer, 1)
}

// second sends another copy for a request whose worker is suspect, or calls the first off; not if it is long.
func (b *Balancer) second(r *request) {
	a := r.attempts[len(r.attempts)-1]
	if r.started || r.called || r.out != 1 || r.class.Idempotency == NotIdempotent || b.tokens < 1 || !a.pending ||
		!b.silent(a.w) || len(r.attempts) >= b.set.MaxAttempts || b.over(r) || (b.now-a.at).Seconds() < r.f.answer {
		return
	}
	r.avoid[a.w.ID] = true
	if b.set.Hedging {
		if w, ready := b.pick(r, true); ready {
			b.tokens--
			b.send(r, w)
		}
	} else if b.set.CanCancel && (r.class.Idempotency == Idempotent || b.now-a.at < r.class.DedupWindow) {
		r.called = true
		b.do(Cancel{ID: r.ID, Attempt: a.n})
	}
}
