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
	minHotSetSize         = 10                     // H: at most this many functions are hot (the design's default) ...
	workersPerHotFunction = 4                      // ... or one for this many workers, where that is more
	groupSpread           = 1.5                    // a hot function's group has this multiple of its part of the workers
	minGroupSize          = 3                      // ... and this many at least
	maxGroupCandidates    = 5                      // a newly hot function looks at this many places for its group
	callDecay             = 10 * time.Second       // calls are forgotten with this time constant
	promotionThreshold    = 1.0                    // hot from this part of a worker's even share of calls, down to half
	minHotCalls           = 6.0                    // ... but never on fewer calls than this, counted times dispatchers
	queueDepthPrior       = 2.0                    // own calls counted a worker that weigh as much as the crowds met
	minOwnCalls           = 3.0                    // own calls counted a worker from which on they judge workers ...
	manyDispatchers       = 10                     // ... and always where there are fewer dispatchers than this
	maxExtraCandidates    = 3                      // places beyond its group where a request looks
	minCallsPerIdleTTL    = 3.0                    // expected calls within the idle time by which a copy is taken to stand
	pollRetryDelay        = time.Second            // the list is asked for again this long after a failure
	hotSetInterval        = 250 * time.Millisecond // how often the hot set is looked at
	sweepInterval         = 10 * time.Millisecond  // how often waiting requests and silent workers are looked at
	overloadFactor        = 1.5                    // a worker is passed over above this multiple of the mean load ...
	overloadSlack         = 1.5                    // ... plus this many requests, or while it is slow
	smoothing             = 0.1                    // weight of a new sample in every running mean
	retryRatio            = 0.2                    // second copies and repeats, as a part of the requests taken
	maxRetryBudget        = 20.0                   // ... and as many at once
	maxUnknownErrors      = 3                      // so many errors before any answer: nobody knows the function ...
	unknownFunctionPause  = 5 * time.Second        // ... and it is not tried again for this long
	loadedTrustRatio      = 0.6                    // a copy is believed to stand for this part of its idle time
	initialLoadWindow     = 4.0                    // load orders in flight at the start
	defaultLoadTime       = 1.0                    // seconds that a load takes, till one has been seen
	slowLoadFactor        = 1.5                    // a load this many times slower than usual cuts their number ...
	loadWindowDecrease    = 0.5                    // ... to this part ...
	minLoadWindow         = 2.0                    // ... and this many at the least
	slowStartMargin       = 3.0                    // standard deviations of chance kept clear of the cold budget
	initialConcurrency    = 12.0                   // in flight to a worker from all dispatchers at first; half at least
	maxObjectiveRatio     = 0.3                    // a window shrinks when answers take more of the aim than this
)

// Handle takes one event at time now and returns what to do, in order.
func (b *Balancer) Handle(now time.Duration, e Event) []Action {
	b.now, b.actions = now, nil
	if b.settings.PollEndpoints && !b.polling && (b.timerID == 0 || b.now-b.polledAt > pollRetryDelay) {
		b.polling, b.polledAt = true, b.now
		b.emit(Watch{On: true})
	}
	switch e := e.(type) {
	case EndpointsEvent:
		b.onEndpoints(e)
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
		if e.TimerID == b.timerID {
			b.timerAt = 0
			b.sweep()
		}
	}
	b.armTimer()
	return b.actions
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// arm keeps one timer: short while requests are open, else at the pace of the hot set.
func (b *Balancer) armTimer() {
	after := hotSetInterval
	if len(b.inFlight) > 0 {
		after = sweepInterval
	}
	if b.timerAt == 0 || b.timerAt > b.now+after {
		b.timerAt = b.now + after
		b.timerID++
		b.emit(SetTimer{After: after, TimerID: b.timerID})
	}
}

func (b *Balancer) onEndpoints(e EndpointsEvent) {
	if e.Scope == ScopeFailed {
		b.polling, b.polledAt = false, b.now
		return
	}
	if e.Scope != ScopeDelta {
		for _, w := range b.workers {
			b.setState(w, Removed)
		}
	}
	for _, l := range e.Workers {
		w := b.workers[l.ID]
		if w == nil {
			w = &worker{hash: hashString(string(l.ID)), failureScore: map[string]float64{}, rejectedInARow: map[string]int{},
				ejectedUntil: map[string]time.Duration{}, lastOK: map[string]time.Duration{}, window: b.initialWindow(), latencyRatio: 1}
			b.workers[l.ID] = w
		}
		if l.Weight <= 0 {
			l.Weight = 1
		}
		if w.fullWeight = max(w.fullWeight, l.Weight); !b.settings.LiveWeights {
			w.fullWeight = l.Weight
		}
		fresh := l.Started > w.Started
		b.setState(w, l.State)
		w.Worker, w.zone = l, b.zone(l.Zone)
		if fresh {
			b.onRestart(w, l.Started)
		}
	}
	b.ready = b.ready[:0]
	for _, w := range b.workers {
		if w.State == Ready {
			b.ready = append(b.ready, w)
		}
	}
	slices.SortFunc(b.ready, func(v, w *worker) int { return cmp.Compare(v.ID, w.ID) })
	b.epoch++
}

// restarted notes a fresh start: the worker is cold and holds nothing.
func (b *Balancer) onRestart(w *worker, at time.Duration) {
	w.startedAt, w.inSlowStart, w.slowStartSends = at, true, nil
	w.ejected, w.latencyRatio, w.objectiveRatio, w.window = false, 1, 0, b.initialWindow()
	w.answerTime, w.expectedTime = decayingCount{}, decayingCount{}
	clear(w.rejectedInARow)
	clear(w.ejectedUntil)
	for _, f := range b.functions {
		if p := f.placements[w.ID]; p != nil {
			p.copies, p.loadedUntil = 0, 0
		}
	}
}

// load is the requests at a worker, by this dispatcher's knowledge, for its present capacity.
func (b *Balancer) load(w *worker) float64 {
	return float64(len(w.outstanding)) * float64(b.settings.Dispatchers) / b.capacity(w)
}

func (b *Balancer) capacity(w *worker) float64 {
	return w.fullWeight * b.warmth(w) / math.Max(1, w.latencyRatio)
}

// homeOrder is the weighted rendezvous order of a function's workers; the first is its home.
func (b *Balancer) rendezvousOrder(f *function) []*worker {
	if f.epoch != b.epoch {
		f.epoch = b.epoch
		f.rendezvous = append(f.rendezvous[:0], b.ready...)
		h := hashString(string(f.id))
		for _, w := range f.rendezvous {
			w.rendezvousKey = -math.Log(unitInterval(mix(h^w.hash))) / w.fullWeight
		}
		slices.SortStableFunc(f.rendezvous, func(v, w *worker) int { return cmp.Compare(v.rendezvousKey, w.rendezvousKey) })
	}
	return f.rendezvous
}

// member is the i-th worker for a function: its group from a turn on, then onward in home order.
func (b *Balancer) candidate(f *function, turn, i int) *worker {
	home := b.rendezvousOrder(f)
	if size := min(f.groupSize, len(home)); i < size {
		i = (turn + i) % size
	}
	return home[(f.groupStart+i)%len(home)]
}

// updateHot ranks the functions and promotes or demotes them.
func (b *Balancer) updateHotSet() {
	b.hotSetUpdatedAt, b.warmWeight = b.now, 0
	for _, w := range b.ready {
		if w.hotCalls = 0; b.warmth(w) >= 1 {
			b.warmWeight += w.fullWeight
		}
		for c := range w.failureScore {
			w.failureScore[c] *= 1 - smoothing/4 // a second chance comes by itself
		}
	}
	for id, w := range b.workers { // one that comes back by now would be warm, or have a new start
		if w.State == Removed && len(w.outstanding) == 0 && b.now-w.removedAt > b.settings.SlowStartDuration+b.settings.OverloadWindow {
			b.forget(id)
		}
	}
	var ranked []*function
	total := 0.0
	for id, f := range b.functions {
		if f.calls.add(b.now, 0, callDecay) >= smoothing*smoothing || f.references > 0 {
			ranked = append(ranked, f)
		} else {
			delete(b.functions, id)
		}
	}
	slices.SortFunc(ranked, func(v, w *function) int {
		return cmp.Or(cmp.Compare(w.calls.value, v.calls.value), cmp.Compare(v.id, w.id))
	})
	for _, f := range ranked {
		total += f.calls.value
	}
	n := len(b.ready)
	b.callsPerWorker, b.rareCalls, b.hotFunctions = total/float64(max(1, n)), total, b.hotFunctions[:0]
	for i, f := range ranked {
		if most := max(minHotSetSize, n/workersPerHotFunction); i >= most+most/4 || i >= most && !f.hot {
			f.hot, f.groupStart, f.groupSize = false, 0, 1
		} else if b.promote(f); f.hot {
			for j := range min(f.groupSize, n) {
				b.candidate(f, 0, j).hotCalls += f.calls.value / float64(f.groupSize)
			}
			b.rareCalls -= f.calls.value
			b.hotFunctions = append(b.hotFunctions, f)
		}
	}
}

// heat tells whether a function is hot and the size of its group, by own counts and the crowds its calls met.
func (b *Balancer) promote(f *function) {
	was, prior := f.hot, 0.0
	if b.settings.ReportsQueueDepth {
		prior = queueDepthPrior
	}
	part := (math.Max(0, f.calls.value-1) + prior*f.demand) / math.Max(b.callsPerWorker+prior, 1e-6)
	f.hot = len(b.ready) > 0 && f.calls.value*float64(b.settings.Dispatchers) >= minHotCalls &&
		(part >= promotionThreshold || was && part >= promotionThreshold/2)
	if !f.hot {
		f.groupStart, f.groupSize = 0, 1
		return
	}
	f.groupSize = min(len(b.ready), max(minGroupSize, int(math.Ceil(groupSpread*part))))
	if !was {
		f.groupStart = b.leastLoadedGroup(f)
		f.rotation = int(mix(b.seed+uint64(b.now)) % 1024)
	}
}

// thin tells that own calls are too few to judge single workers by, and only a small part of all.
func (b *Balancer) lowTraffic() bool {
	return b.callsPerWorker < minOwnCalls && b.settings.Dispatchers >= manyDispatchers
}

// leastLoaded finds the place of a group with the least hot load; ties within the noise of counts go by home.
func (b *Balancer) leastLoadedGroup(f *function) int {
	best, least := 0, 0.0
	last := min(len(b.ready), maxGroupCandidates*f.groupSize) - f.groupSize
	for start := 0; start == 0 || start <= last && !b.lowTraffic(); start += f.groupSize {
		load := 0.0
		for j := range f.groupSize {
			load += b.rendezvousOrder(f)[(start+j)%len(b.ready)].hotCalls
		}
		if start == 0 || load+math.Sqrt(load+least) < least {
			best, least = start, load
		}
	}
	return best
}

// stands tells that a copy is believed to stand, by own calls.
func (b *Balancer) isLoaded(p *placement) bool {
	return p.copies > 0 && (b.now < p.loadedUntil || p.inFlight > 0)
}

// used tells that all dispatchers' calls must keep a copy at each worker of the group, where own are few.
func (b *Balancer) loadedByPeers(f *function) bool {
	own := math.Max(f.calls.value-1, smoothing) * b.settings.IdleTTL.Seconds() / callDecay.Seconds() / float64(f.groupSize)
	return b.lowTraffic() && (f.hot || own*float64(b.settings.Dispatchers) >= minCallsPerIdleTTL)
}

// lastTry tells that a request's next attempt is its last: four misses in a few ms would end it at once, so
// that one is kept for a place where a copy stands or has been ordered.
func (b *Balancer) lastAttempt(r *request) bool {
	return b.settings.LoadOrders && !b.settings.LoadOnMiss && len(r.attempts) > 0 && len(r.attempts)+1 >= b.settings.MaxAttempts
}

// strange tells that nobody knows a function, as far as this dispatcher has heard: its calls and loads met
// errors only. Any client can name such a function; to try it again and again would use up the ration.
func (b *Balancer) unknownFunction(f *function) bool {
	return !f.known && f.errors >= maxUnknownErrors && b.now-f.lastErrorAt < unknownFunctionPause
}

// erred notes an error for a function, and tells whether that says something of the worker or the store.
func (b *Balancer) countError(f *function) bool {
	if !f.known {
		f.errors, f.lastErrorAt = f.errors+1, b.now
	}
	return f.known
}

// ordersFirst tells whether a copy not believed to stand is ordered before a request goes there.
func (b *Balancer) needsLoadOrder(p *placement) bool {
	return b.settings.LoadOrders && !b.settings.LoadOnMiss && (b.settings.LoadWindow == 0 || p.missed)
}

// order is the one place that emits Load. It keeps the drain rule and the ration, and paces by the window.
func (b *Balancer) orderLoad(f *function, p *placement, copies int, allowed float64) bool {
	if p.ordered || !b.settings.LoadOrders || b.unknownFunction(f) || f.id == "" || p.worker.State != Ready || b.now < p.noOrderUntil ||
		float64(b.loadsInFlight) >= allowed {
		return false
	}
	if b.settings.LoadWindow > 0 {
		b.recentOrders = after(b.recentOrders, b.now-b.settings.LoadWindow-b.maxOrderDelay())
		b.recentRequests = after(b.recentRequests, b.now-b.settings.LoadWindow+b.maxOrderDelay())
		if float64(len(b.recentOrders)+1) > b.settings.LoadBurst+b.settings.LoadRatio*float64(len(b.recentRequests)) {
			return false
		}
		b.recentOrders = append(b.recentOrders, b.now)
	}
	f.references++
	p.ordered, p.orderedAt = true, b.now
	b.loadsInFlight++
	b.emit(Load{Worker: p.worker.ID, Function: f.id, Copies: min(copies, 16), StartWithin: b.maxOrderDelay()})
	return true
}

// earn counts a request for the ration of orders, at the time when it came, once a worker has taken it for
// one. Clients send by hundreds what they take back at once, or what no worker knows: these earn no orders.
func (b *Balancer) earnLoads(r *request) {
	if r.earnedLoads || b.settings.LoadWindow == 0 {
		return
	}
	r.earnedLoads = true
	i, _ := slices.BinarySearch(b.recentRequests, r.arrivedAt())
	b.recentRequests = slices.Insert(b.recentRequests, i, r.arrivedAt())
}

func (b *Balancer) onLoadEnded(e LoadEndedEvent) {
	f, w := b.functions[e.Function], b.workers[e.Worker]
	if f == nil || w == nil || !f.placement(w).ordered {
		return
	}
	p := f.placement(w)
	p.ordered = false
	f.references--
	b.loadsInFlight--
	p.copies = e.Copies
	took, usual := e.Elapsed.Seconds(), f.loadTime
	slow := (e.Status != Failed || b.countError(f)) && (e.Status != OK || took > slowLoadFactor*usual)
	if e.Status == OK {
		b.markReachable(w)
		f.known = true
		p.missed, p.loadedUntil, p.missingUntil = false, b.now+b.loadedTrust(), 0
		b.loadWindow += 1 / b.loadWindow
		if took > usual*smoothing { // less: it stood already
			f.loadTime += (took - usual) * smoothing
		}
	} else if p.noOrderUntil = b.now + seconds(usual); e.Status == Reset {
		b.onReset(w)
	} else if e.Status == ConnectFailed {
		b.eject(w)
	}
	if slow && b.now-b.loadWindowDecreasedAt > seconds(usual/2) {
		b.loadWindowDecreasedAt, b.loadWindow = b.now, math.Max(minLoadWindow, b.loadWindow*loadWindowDecrease)
	}
	b.resumeWaiting(func(r *request) bool { return r.waitingFor == p })
}

// resume places the requests that waited for what has come.
func (b *Balancer) resumeWaiting(waits func(*request) bool) {
	for _, r := range slices.Clone(b.inFlight) {
		if waits(r) {
			r.waitingFor = nil
			b.place(r)
		}
	}
}

// ordersAhead puts missing copies of hot functions on their group, one order a function at a time.
func (b *Balancer) preloadHotSet() {
	for _, f := range b.hotFunctions {
		var next *placement
		if b.loadedByPeers(f) {
			continue
		}
		for i := range min(f.groupSize, len(b.ready)) {
			p := f.placement(b.candidate(f, 0, i))
			if p.ordered {
				next = nil
				break
			}
			if next == nil && !b.isLoaded(p) && b.needsLoadOrder(p) && !b.unavailable(p.worker) && b.now >= p.noOrderUntil &&
				p.worker.rejectedInARow[f.class] < maxRejectedInARow {
				next = p
			}
		}
		if next != nil {
			b.orderLoad(f, next, 1, b.loadWindow)
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
		f = &function{id: e.Function, epoch: -1, groupSize: 1, placements: map[WorkerID]*placement{}}
		b.functions[e.Function] = f
	}
	f.concurrency = max(1, e.Concurrency)
	if f.loadTime == 0 {
		f.loadTime = cmp.Or(e.LoadTime.Seconds(), defaultLoadTime)
	}
	part := 1.0 // a call counts by its work, where that is told
	if work := e.WorkEstimate.Seconds(); work > 0 {
		b.meanWork += (work - b.meanWork) * sampleWeight(b.meanWork, smoothing/4)
		part = min(work/b.meanWork, 1/smoothing)
	}
	f.class = c.Name
	f.calls.add(b.now, part, callDecay)
	b.promote(f)
	f.references++
	f.rotation++
	r := &request{RequestEvent: e, class: c, function: f, rotation: f.rotation, deadline: b.now + e.TimeLeft, weight: c.Weight,
		excluded: map[WorkerID]bool{}}
	r.objective = b.now + min(e.TimeLeft, c.LatencyObjective+time.Duration(c.ObjectiveStretch*float64(e.WorkEstimate)))
	if t, most := b.tenantCalls[e.Tenant], b.rateQuotas[e.Tenant]; most > 0 &&
		t.add(b.now, 1, callDecay)/callDecay.Seconds()*float64(b.settings.Dispatchers) > most {
		r.weight *= b.settings.OverQuotaWeight
	}
	b.longestTimeLeft[c.Name] = max(b.longestTimeLeft[c.Name], e.TimeLeft)
	if e.Retry { // what the first try waited is not told; most likely the aim has passed
		r.weight *= (1 + c.LateWeight) / 2
	}
	if (e.Retry || !b.settings.ClientsMarkRetries) && e.TimeLeft < b.longestTimeLeft[c.Name]*31/32 { // the deadline cut it short
		r.objective -= c.Deadline - e.TimeLeft
	}
	b.retryBudget = math.Min(maxRetryBudget, b.retryBudget+retryRatio)
	b.requests[e.ID] = r
	b.inFlight = append(b.inFlight, r)
	if !b.backlogged || r.objective > b.now || b.tooLate(r) { // over: the next sweep could come too late for its answer
		b.place(r)
	}
}

// place finds a request without a pending attempt its next step: a send, a wait for an order, or its end.
func (b *Balancer) place(r *request) {
	if len(r.attempts) >= b.settings.MaxAttempts || b.tooLate(r) || b.unknownFunction(r.function) ||
		(r.mayHaveRun() && r.class.Idempotency == NotIdempotent) ||
		r.Retry && b.now+seconds(r.function.meanAnswer) > r.deadline { // its client would be gone before the usual answer
		b.finish(r)
		return
	}
	if w, ready := b.pickWorker(r, false); ready {
		b.send(r, w)
	} else if w != nil { // else held: the sweep tries again
		if p := r.function.placement(w); b.orderLoad(r.function, p, 1, 2*b.loadWindow) || p.ordered {
			r.waitingFor, r.waitUntil = p, p.orderedAt+seconds(2*r.function.loadTime)
		} else if b.now >= p.missingUntil && !b.lastAttempt(r) { // no order to be had: another dispatcher may have given one
			p.missingUntil = b.now + seconds(2*r.function.loadTime)
			b.send(r, w)
		}
	}
}

// over tells that no new attempt could end in time.
func (b *Balancer) tooLate(r *request) bool { return b.now+2*sweepInterval >= r.deadline }

// pick chooses a worker: hot functions take their group in turn, rare ones go home or onward. The second
// result tells that the request may go now; otherwise the worker is where a copy should be ordered.
func (b *Balancer) pickWorker(r *request, standing bool) (*worker, bool) {
	f := r.function
	var empty, crowded, best *worker
	held, used, seen, least := false, b.loadedByPeers(f), 0, 0.0
	for i := range b.ready {
		w := b.candidate(f, r.rotation, i)
		if w.inSlowStart && b.settings.Dispatchers >= manyDispatchers && (f.groupSize == 1 || i+len(r.attempts) > 0) { // beyond the lot
			continue
		}
		if !b.mayAttempt(r, w) || !b.healthy(r, w) {
			continue
		}
		if seen++; b.lowTraffic() && seen > f.groupSize+r.extraCandidates+1 {
			break
		}
		p, skip := f.placement(w), b.overloaded(w)
		shun := b.now < p.avoidUntil && b.lowTraffic()
		if ready := b.isLoaded(p) || !b.needsLoadOrder(p) && !b.lastAttempt(r) ||
			i < f.groupSize+r.extraCandidates && used && !w.inSlowStart && b.now >= p.missingUntil; !ready {
			if empty == nil && !skip && b.now >= p.noOrderUntil && (seen <= f.groupSize+1 || !b.lowTraffic()) {
				empty = w
			}
		} else if !skip && !shun {
			best = w
			break
		} else if held = held || !shun; b.now >= w.fullUntil && float64(len(w.outstanding)) < w.window {
			if wait := (1 + b.load(w)) * b.latencyRatio(w); crowded == nil || wait < least {
				crowded, least = w, wait
			}
		}
	}
	if b.lowTraffic() && best == nil && !standing {
		if held && r.extraCandidates < maxExtraCandidates && f.groupSize+r.extraCandidates < len(b.ready) {
			r.extraCandidates += max(1, f.groupSize/4)
			return b.pickWorker(r, standing)
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
		b.orderLoad(f, f.placement(empty), 1, b.loadWindow)
	}
	return best, best != nil
}

// skip tells that a worker is passed over for now: it answered full, or holds many requests for its size.
func (b *Balancer) overloaded(w *worker) bool {
	return b.now < w.fullUntil || float64(len(w.outstanding)) >= w.window || b.latencyRatio(w) > latencyOutlierRatio ||
		b.load(w) > overloadFactor*b.meanLoad+overloadSlack*float64(b.settings.Dispatchers)/b.capacity(w)
}

// sound leaves out who fails more of the class than the fleet or turns all of it away. A suspect gets one
// safe request as its trial.
func (b *Balancer) healthy(r *request, w *worker) bool {
	class := r.class.Name
	limit := b.failureScoreLimit()
	if r.class.Idempotency == NotIdempotent {
		limit *= notIdempotentLimit
	}
	return !r.excluded[w.ID] && b.now >= w.ejectedUntil[class] && w.failureScore[class] <= limit &&
		(!b.unavailable(w) || b.failOpen || r.class.Idempotency == Idempotent && b.now >= max(w.probeAt, w.zone.probeAt) &&
			len(w.outstanding) == 0 && len(r.attempts)+1 < b.settings.MaxAttempts)
}

// mayGo holds the rules on what may be sent where: drains, repeats, cold workers, attempts and time.
func (b *Balancer) mayAttempt(r *request, w *worker) bool {
	if r.closed || w.State != Ready || len(r.attempts) >= b.settings.MaxAttempts || b.tooLate(r) ||
		r.outstanding > 0 && !b.settings.Hedging || r.class.Idempotency == NotIdempotent && r.mayHaveRun() {
		return false
	}
	for _, a := range r.attempts {
		if r.class.Idempotency == IdempotentWithKey && (a.pending || a.mayHaveRun) &&
			(b.now-a.sentAt >= r.class.DedupWindow || !sameDedupScope(r.class.DedupScope, a.worker, w)) {
			return false
		}
	}
	return b.slowStartAllows(r, w)
}

// coldRoom tells that a cold worker may be sent a request now: this dispatcher's share of the multiple of its
// present capacity, judged by what warm workers answer, less a margin for chance. A share below one is dealt
// by lot, among all requests that all dispatchers are likely to send there.
func (b *Balancer) slowStartAllows(r *request, w *worker) bool {
	warm, peers, span := b.warmth(w), float64(b.settings.Dispatchers), b.settings.OverloadWindow.Seconds()
	if warm >= 1 {
		return true
	}
	w.slowStartSends = after(w.slowStartSends, b.now-b.settings.OverloadWindow)
	rate := 1 / math.Max(cmp.Or(b.meanAnswer, r.class.LatencyObjective.Seconds()), smoothing*smoothing)
	if b.warmWeight > 0 {
		rate = math.Max(rate, peers*b.answerCount.add(b.now, 0, callDecay)/callDecay.Seconds()*w.fullWeight/b.warmWeight)
	}
	budget := b.settings.OverloadMultiple * warm * rate * span
	budget += slowStartMargin * (slowStartMargin/2 - math.Sqrt(budget+slowStartMargin*slowStartMargin/4)) // what chance may add
	if float64(len(w.slowStartSends)+1) > math.Max(1, budget/peers) {
		return false
	}
	flow := math.Max(b.callsPerWorker, w.hotCalls+b.rareCalls/float64(len(b.ready)))
	if !r.function.hot {
		flow += math.Max(r.function.calls.value-1, r.function.demand*b.callsPerWorker)
	}
	lot := unitInterval(w.hash ^ mix(b.seed+uint64(r.ID)))
	return budget >= peers || lot*peers*flow/callDecay.Seconds()*span < budget
}

// send is the one place that emits Send.
func (b *Balancer) send(r *request, w *worker) {
	if !b.mayAttempt(r, w) {
		return
	}
	var limit, within time.Duration
	for _, a := range r.attempts { // it may wait for a connection: by then a repeat would run
		if left := a.sentAt + r.class.DedupWindow - b.now; r.class.Idempotency == IdempotentWithKey && (a.pending || a.mayHaveRun) &&
			(within == 0 || left < within) {
			within = left
		}
	}
	if r.class.Idempotency != NotIdempotent && !b.settings.Hedging && !b.settings.CanCancel {
		limit = (r.deadline - b.now) / 2
	}
	a := &attempt{index: len(r.attempts), worker: w, sentAt: b.now, pending: true, expected: b.meanAnswer}
	if work := r.WorkEstimate.Seconds(); work > 0 {
		a.expected *= (1 + work/b.meanWork) / 2
	}
	if b.unavailable(w) {
		b.postponeProbe(w)
	}
	if w.rejectedInARow[r.class.Name] >= maxRejectedInARow {
		b.ejectClass(w, r.class.Name)
	}
	r.attempts, r.waitingFor = append(r.attempts, a), nil
	r.outstanding++
	w.outstanding = append(w.outstanding, a)
	if b.warmth(w) < 1 {
		w.slowStartSends = append(w.slowStartSends, b.now)
	}
	r.function.placement(w).inFlight++
	b.emit(Send{ID: r.ID, Worker: w.ID, Timeout: limit, StartWithin: within})
}

// end is the one place that emits Refuse, where that is harmless, and Fail; not while an attempt is out.
func (b *Balancer) finish(r *request) {
	if r.closed || r.outstanding > 0 {
		return
	}
	if !r.mayHaveRun() || r.class.Idempotency == Idempotent || (r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupFleet) {
		b.emit(Reject{ID: r.ID, RetryAfter: b.retryAfter(r)})
	} else {
		b.emit(Fail{ID: r.ID})
	}
	b.close(r, false)
}

// comeBack is the advice of a refusal: by then the copy that was lacking usually stands.
func (b *Balancer) retryAfter(r *request) time.Duration {
	if !b.settings.SendRetryAfter {
		return 0
	}
	return min(seconds(2*r.function.loadTime), b.settings.MaxRetryAfter)
}

// close ends what is owed for a request; attempts still out are called off, but for a stream that has begun.
func (b *Balancer) close(r *request, streaming bool) {
	if r == nil {
		return
	}
	r.streaming = r.streaming || streaming
	if !r.closed {
		r.closed, r.waitingFor = true, nil
		r.function.references--
		b.inFlight = remove(b.inFlight, r)
	}
	if r.outstanding == 0 {
		delete(b.requests, r.ID)
	} else if b.settings.CanCancel && !r.streaming {
		for _, a := range r.attempts {
			if a.pending {
				b.emit(Cancel{ID: r.ID, Attempt: a.index})
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
	w, p := a.worker, r.function.placement(a.worker)
	a.pending = false
	r.outstanding--
	p.inFlight--
	w.outstanding = remove(w.outstanding, a)
	class := r.class.Name
	took := e.Elapsed.Seconds()
	if e.Status == OK || took > a.expected && (e.Status == TimedOut || e.Status == Cancelled) {
		w.answerTime.add(b.now, took, latencyDecay)
		w.expectedTime.add(b.now, a.expected, latencyDecay)
	}
	if e.Status == Failed && !b.countError(r.function) {
		r.function.erroredWorkers = append(lastN(r.function.erroredWorkers, maxUnknownErrors-1), w) // its own fault, if another answers
	} else if e.Status != Reset || b.onReset(w) {
		b.recordResult(w, class, map[Status]float64{Failed: 1, TimedOut: 1, Reset: resetSeverity}[e.Status])
	}
	if e.Status == Failed { // quick or not, it is there
		b.markReachable(w)
	} else if e.Status == ConnectFailed || e.Status == TimedOut {
		w.zone.lostTime += b.unansweredTime(w.zone, e.Elapsed)
	}
	a.notWritten = e.Status == ConnectFailed || e.Status == NotSent
	a.mayHaveRun = !a.notWritten && e.Status != Rejected && e.Status != Miss
	if e.Status == OK || e.Status == Rejected || e.Status == Miss {
		b.earnLoads(r)
	}
	switch e.Status {
	case OK:
		b.onAnswer(r, p, e)
	case Rejected:
		b.markHealthy(w)
		b.learnDemand(r.function, e.QueueDepth)
		if w.rejectedInARow[class]++; w.rejectedInARow[class] < maxRejectedInARow {
			w.fullUntil = b.now + seconds(b.meanAnswer/2)
			b.decreaseWindow(w)
		} else { // nothing of this class gets in there, whatever its load
			b.ejectClass(w, class)
		}
	case Miss:
		b.markHealthy(w)
		if p.copies > 0 && e.Warmth != WarmthLoadFailed { // released anew or unloaded: the other copies are in doubt
			for _, o := range r.function.placements {
				o.loadedUntil = min(o.loadedUntil, b.now)
			}
		}
		p.copies, p.missed, p.loadedUntil, p.missingUntil = 0, true, 0, b.now+seconds(2*r.function.loadTime)
		if !b.settings.LoadOrders || e.Warmth == WarmthLoadFailed {
			p.noOrderUntil = b.now + seconds(r.function.loadTime)
		} else if r.function.hot && r.function.groupSize > 1 {
			b.orderLoad(r.function, p, 1, b.loadWindow)
		}
	case ConnectFailed:
		b.eject(w)
	case TimedOut, Cancelled: // a client that soon takes its request back says nothing of the worker
		if b.now-w.lastHeard > e.Elapsed && e.Elapsed >= seconds(silenceFactor*b.meanAnswer) && (b.meanAnswer > 0 || e.Status == TimedOut) {
			b.eject(w)
		}
	}
	if r.cancelledForRetry = false; e.Answered || r.closed {
		b.close(r, false)
		return
	}
	if e.Status != Miss && e.Status != OK {
		r.excluded[w.ID], p.avoidUntil = true, b.now+b.loadedTrust()
	}
	if r.outstanding > 0 {
		return
	}
	if a.mayHaveRun {
		b.retryBudget--
	}
	if b.retryBudget >= 0 {
		b.place(r)
	} else {
		b.retryBudget = 0
		b.finish(r)
	}
}

func (b *Balancer) onAnswer(r *request, p *placement, e OutcomeEvent) {
	w, f := p.worker, r.function
	b.markHealthy(w)
	w.rejectedInARow[r.class.Name], w.lastOK[r.class.Name] = w.rejectedInARow[r.class.Name]/2, b.now
	for _, o := range f.erroredWorkers {
		b.recordResult(o, f.class, 1)
	}
	f.known, f.erroredWorkers = true, nil
	p.copies, p.missed, p.loadedUntil, p.missingUntil = max(p.copies, 1), false, b.now+b.loadedTrust(), 0
	took := e.Elapsed.Seconds()
	f.meanAnswer, b.meanAnswer = cmp.Or(f.meanAnswer, took), cmp.Or(b.meanAnswer, took)
	w.latencyRatio += (math.Min(took/math.Max(f.meanAnswer, 1e-6), 10) - w.latencyRatio) * smoothing
	f.meanAnswer += (took - f.meanAnswer) * smoothing
	b.meanAnswer += (took - b.meanAnswer) * smoothing / 4
	b.answerCount.add(b.now, 1, callDecay)
	w.objectiveRatio += (took/math.Max(r.class.LatencyObjective.Seconds(), 1e-6) - w.objectiveRatio) * smoothing
	if w.objectiveRatio > maxObjectiveRatio {
		b.decreaseWindow(w)
	} else if float64(len(w.outstanding)+2) >= w.window {
		w.window += 1 / w.window
	}
	b.learnDemand(f, e.QueueDepth)
	if b.settings.ReportsQueueDepth && e.QueueDepth >= f.concurrency*p.copies && p.copies < 16 && b.isLoaded(p) {
		b.orderLoad(f, p, p.copies+1, b.loadWindow)
	}
}

// crowded learns how many workers a function needs from the calls for it that a worker held.
func (b *Balancer) learnDemand(f *function, crowd int) {
	each := b.callsPerWorker / callDecay.Seconds() * float64(b.settings.Dispatchers) * b.meanAnswer // held by a worker on average
	if b.settings.ReportsQueueDepth && each > 0 {
		f.demand += (float64(f.groupSize*crowd)/each - f.demand) / float64(1+f.groupSize) // the wider, the noisier
	}
}

func (b *Balancer) decreaseWindow(w *worker) {
	if b.now-w.decreasedAt > seconds(b.meanAnswer) {
		w.decreasedAt = b.now
		w.window = math.Max(b.initialWindow()/2, math.Min(w.window, float64(len(w.outstanding)+2))*0.8)
	}
}

// sweep looks after silent workers, waiting requests, second copies and the hot set.
func (b *Balancer) sweep() {
	if b.now-b.hotSetUpdatedAt >= hotSetInterval {
		b.updateHotSet()
	}
	b.checkWorkers()
	waiting := []*request{}
	for _, r := range slices.Clone(b.inFlight) {
		switch {
		case r.outstanding > 0:
			b.hedge(r)
		case b.tooLate(r):
			b.finish(r)
		case b.now+sweepInterval > r.halfTime() && !r.reachedWorker():
			b.decideAtHalfTime(r)
		case r.waitingFor == nil:
			waiting = append(waiting, r)
		case !r.waitingFor.ordered || b.now > r.waitUntil || r.waitingFor.worker.State != Ready || b.unavailable(r.waitingFor.worker):
			r.excluded[r.waitingFor.worker.ID], r.waitingFor = true, nil
			waiting = append(waiting, r)
		}
	}
	b.backlogged = false
	slices.Reverse(waiting) // newest first: under overload some are then served well, rather than all late
	slices.SortStableFunc(waiting, func(q, r *request) int { return cmp.Compare(b.value(r), b.value(q)) })
	for _, r := range waiting {
		if b.now+seconds(r.function.meanAnswer) > r.objective && len(b.ready) > 0 {
			b.finish(r)
			continue
		}
		b.place(r)
		b.backlogged = b.backlogged || !r.closed && r.outstanding == 0 && r.waitingFor == nil
	}
	b.preloadHotSet()
}

// decide ends the wait of a request that no worker has seen by half of its time: later its refusal costs
// more. It goes where a load that it waits for is under way, and waits there; else it is given up.
func (b *Balancer) decideAtHalfTime(r *request) {
	if p := r.waitingFor; p != nil && p.ordered && b.mayAttempt(r, p.worker) && b.healthy(r, p.worker) {
		b.send(r, p.worker)
	} else {
		b.finish(r)
	}
}

// value is what an answer would earn for each second of work, if sent now.
func (b *Balancer) value(r *request) float64 {
	if b.settings.WeightByWork {
		return r.weight
	}
	return r.weight / cmp.Or(r.function.meanAnswer, 1)
}

// second sends another copy for a request whose worker is suspect, or calls the first off; not if it is long.
func (b *Balancer) hedge(r *request) {
	a := r.attempts[len(r.attempts)-1]
	if r.streaming || r.cancelledForRetry || r.outstanding != 1 || r.class.Idempotency == NotIdempotent || b.retryBudget < 1 || !a.pending ||
		!b.unavailable(a.worker) || len(r.attempts) >= b.settings.MaxAttempts || b.tooLate(r) || (b.now-a.sentAt).Seconds() < r.function.meanAnswer {
		return
	}
	r.excluded[a.worker.ID] = true
	if b.settings.Hedging {
		if w, ready := b.pickWorker(r, true); ready {
			b.retryBudget--
			b.send(r, w)
		}
	} else if b.settings.CanCancel && (r.class.Idempotency == Idempotent || b.now-a.sentAt < r.class.DedupWindow) {
		r.cancelledForRetry = true
		b.emit(Cancel{ID: r.ID, Attempt: a.index})
	}
}
