package balancer

import (
	"math"
	"time"
)

const (
	// The hot set holds up to minHotSetSize functions, or one for every workersPerHotFunction workers if that
	// is more. Functions that are hot already stay up to a quarter beyond this limit.
	minHotSetSize         = 10
	workersPerHotFunction = 4

	// The group of a hot function has groupSizeFactor times the workers that its share of the calls amounts
	// to, and at least minGroupSize workers.
	groupSizeFactor = 1.5
	minGroupSize    = 3

	maxGroupStarts = 5                // starting points that are compared for the group of a newly hot function
	callDecay      = 10 * time.Second // time constant with which the counts of calls decay

	// A function becomes hot at promotionThreshold times a worker's even share of the calls, and stays hot
	// down to half of that. It is never hot with fewer than minHotCalls calls, estimated over all dispatchers.
	promotionThreshold = 1.0
	minHotCalls        = 6.0

	// queueDepthPrior is the weight of the queue depths in the size of a group: they count as much as this
	// many own calls per worker.
	queueDepthPrior = 2.0

	// Own calls are used to judge single workers if at least minOwnCalls are counted per worker, or if there
	// are fewer than manyDispatchers dispatchers.
	minOwnCalls     = 3.0
	manyDispatchers = 10
)

// updateHotSet ranks the functions, promotes or demotes each of them, and forgets workers removed long ago.
func (b *Balancer) updateHotSet() {
	b.refreshWorkerStats()
	b.forgetRemoved()
	ranked := b.rankFunctions()
	b.resetHotSet(ranked)
	limit := max(minHotSetSize, len(b.ready)/workersPerHotFunction)
	for i, f := range ranked {
		if i >= limit+limit/4 || i >= limit && !f.hot {
			f.demote()
			continue
		}
		b.updateHot(f)
		if f.hot {
			b.addToHotSet(f)
		}
	}
}

// updateHot decides whether a function is hot, and sizes its group by its calls and the queue depths that
// its requests found.
func (b *Balancer) updateHot(f *function) {
	wasHot := f.hot
	prior := 0.0
	if b.settings.ReportsQueueDepth {
		prior = queueDepthPrior
	}
	ownCalls := math.Max(0, f.calls.value-1)
	share := (ownCalls + prior*f.demand) / math.Max(b.hotSet.callsPerWorker+prior, minPositiveEstimate)
	enoughCalls := f.calls.value*float64(b.settings.Dispatchers) >= minHotCalls
	enoughShare := share >= promotionThreshold || wasHot && share >= promotionThreshold/2
	f.hot = len(b.ready) > 0 && enoughCalls && enoughShare
	if !f.hot {
		f.demote()
		return
	}
	f.groupSize = min(len(b.ready), max(minGroupSize, int(math.Ceil(groupSizeFactor*share))))
	if !wasHot {
		f.groupStart = b.leastLoadedGroup(f)
		f.rotation = int(mix(b.seed+uint64(b.now)) % 1024) // dispatchers start at different workers
	}
}

// leastLoadedGroup returns the start of the group whose workers have the fewest hot calls. A difference
// that may be noise does not count, so the earlier start is kept. With low traffic it returns 0.
func (b *Balancer) leastLoadedGroup(f *function) int {
	best := 0
	fewestCalls := 0.0
	lastStart := min(len(b.ready), maxGroupStarts*f.groupSize) - f.groupSize
	for start := 0; start == 0 || start <= lastStart && !b.lowTraffic(); start += f.groupSize {
		calls := 0.0
		for i := range f.groupSize {
			calls += b.workerAt(f, start+i).hotCalls
		}
		if start == 0 || calls+math.Sqrt(calls+fewestCalls) < fewestCalls {
			best = start
			fewestCalls = calls
		}
	}
	return best
}

// lowTraffic reports whether own calls are too few to judge single workers by, and only a small part of the
// calls of all dispatchers.
func (b *Balancer) lowTraffic() bool {
	return b.hotSet.callsPerWorker < minOwnCalls && b.settings.Dispatchers >= manyDispatchers
}
