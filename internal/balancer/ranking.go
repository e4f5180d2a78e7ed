package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	minFunctionCalls  = 0.01          // a function with fewer calls counted is forgotten
	failureScoreDecay = smoothing / 4 // part of a worker's failure score forgotten with each update
)

// hotSet is the result of the last ranking of functions.
type hotSet struct {
	functions      []*function // hot ones
	updatedAt      time.Duration
	callsPerWorker float64 // this dispatcher's calls counted, for each worker
	rareCalls      float64 // ... of all functions that are not hot
	warmWeight     float64 // of all warm workers that the list calls ready, with a lease or without
}

// resetHotSet begins a new hot set with the calls of all functions.
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

// addToHotSet adds a hot function: each worker of its group takes an even part of its calls.
func (b *Balancer) addToHotSet(f *function) {
	for i := range min(f.groupSize, len(b.ready)) {
		b.candidate(f, 0, i).hotCalls += f.calls.value / float64(f.groupSize)
	}
	b.hotSet.rareCalls -= f.calls.value
	b.hotSet.functions = append(b.hotSet.functions, f)
}

// refreshWorkerStats begins a new count of each worker's hot calls and lets failures be forgotten.
func (b *Balancer) refreshWorkerStats() {
	b.hotSet.warmWeight = b.lapsedWarmWeight()
	for _, w := range b.ready {
		w.hotCalls = 0
		if b.warmth(w) >= 1 {
			b.hotSet.warmWeight += w.fullWeight
		}
		for _, class := range w.classes {
			class.failureScore *= 1 - failureScoreDecay
		}
	}
}

// rankFunctions returns the functions, most called first, and forgets those no longer called, but for a few
// where keepalives may need them.
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
		if !b.settings.EndpointLeases || !f.known || len(b.functions) > minKeptFunctions {
			delete(b.functions, f.id)
		}
	}
	slices.SortFunc(ranked, func(v, w *function) int {
		return cmp.Or(cmp.Compare(w.calls.value, v.calls.value), cmp.Compare(v.id, w.id))
	})
	return ranked
}
