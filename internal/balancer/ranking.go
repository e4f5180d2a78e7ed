package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	minFunctionCalls  = 0.01          // functions with a lower count of calls are forgotten
	maxFunctions      = 4096          // beyond that the functions called least are forgotten
	failureScoreDecay = smoothing / 4 // fraction of a failure score that each update of the hot set removes
)

// hotSet is the result of the last update of the hot functions.
type hotSet struct {
	functions      []*function // the hot functions, most called first
	updatedAt      time.Duration
	callsPerWorker float64 // this dispatcher's counted calls, divided by the number of ready workers
	rareCalls      float64 // this dispatcher's counted calls of functions that are not hot
	warmWeight     float64 // of all warm workers that the list names as ready, with or without a valid lease
	warmAnswers    float64 // recent answers of these workers to this dispatcher
}

// resetHotSet empties the hot set and computes its totals from the calls of all functions.
func (b *Balancer) resetHotSet(functions []*function) {
	total := 0.0
	for _, f := range functions {
		total += f.calls.value
	}
	b.hotSet.updatedAt = b.now
	b.hotSet.callsPerWorker = total / float64(max(1, len(b.ready)))
	b.hotSet.rareCalls = total
	b.hotSet.functions = b.hotSet.functions[:0]
}

// addToHotSet adds a hot function and assigns an equal part of its calls to each worker of its group.
func (b *Balancer) addToHotSet(f *function) {
	for i := range min(f.groupSize, len(b.ready)) {
		b.candidate(f, 0, i).hotCalls += f.calls.value / float64(f.groupSize)
	}
	b.hotSet.rareCalls -= f.calls.value
	b.hotSet.functions = append(b.hotSet.functions, f)
}

// countWarmWorker adds a worker to the totals of the warm workers, if it is warm.
func (b *Balancer) countWarmWorker(w *worker) {
	if b.warmth(w) < 1 {
		return
	}
	b.hotSet.warmWeight += w.fullWeight
	b.hotSet.warmAnswers += w.answers.add(b.now, 0, callDecay)
}

// refreshWorkerStats clears the hot calls of the ready workers, decays their failure scores, and sums up
// the weight and the answers of the warm ones.
func (b *Balancer) refreshWorkerStats() {
	b.hotSet.warmWeight = 0
	b.hotSet.warmAnswers = 0
	b.countExpiredWarmWorkers()
	for _, w := range b.ready {
		w.hotCalls = 0
		b.countWarmWorker(w)
		for _, class := range w.classes {
			class.failureScore *= 1 - failureScoreDecay
		}
	}
}

// rankFunctions returns the functions in use, most called first. It forgets the other ones, except a few
// that keepalives may need, and those called least if there are more than maxFunctions.
func (b *Balancer) rankFunctions() []*function {
	var ranked, unused []*function
	for _, f := range b.functions {
		if f.calls.add(b.now, 0, callDecay) >= minFunctionCalls || f.references > 0 {
			ranked = append(ranked, f)
		} else {
			unused = append(unused, f)
		}
	}
	slices.SortFunc(unused, (*function).compareCalls)
	for _, f := range unused {
		if !b.settings.EndpointLeases || !f.succeeded || len(b.functions) > minRememberedFunctions {
			delete(b.functions, f.id)
		}
	}
	slices.SortFunc(ranked, func(v, w *function) int {
		return cmp.Or(cmp.Compare(w.calls.value, v.calls.value), cmp.Compare(v.id, w.id))
	})
	return b.forgetLeastCalled(ranked)
}

// forgetLeastCalled forgets the functions beyond maxFunctions in a ranking, except those in use. Clients may
// call ever new functions. It returns the remaining ranking.
func (b *Balancer) forgetLeastCalled(ranked []*function) []*function {
	if len(ranked) <= maxFunctions {
		return ranked
	}
	kept := ranked[:maxFunctions]
	for _, f := range ranked[maxFunctions:] {
		if f.references > 0 || b.hasPending(f) {
			kept = append(kept, f)
			continue
		}
		delete(b.functions, f.id)
	}
	return kept
}

// hasPending reports whether an attempt or a load order of a function is pending.
func (b *Balancer) hasPending(f *function) bool {
	for _, p := range f.placements {
		if p.inFlight > 0 || p.orderPending {
			return true
		}
	}
	return false
}
