package balancer

import (
	"math"
	"time"
)

const (
	minHotSetSize         = 10               // at most this many functions are hot ...
	workersPerHotFunction = 4                // ... or one for this many workers, where that is more
	groupSizeFactor       = 1.5              // a hot function's group has this multiple of its part of the workers
	minGroupSize          = 3                // ... and this many at least
	maxGroupStarts        = 5                // a newly hot function looks at this many places for its group
	callDecay             = 10 * time.Second // calls are forgotten with this time constant
	promotionThreshold    = 1.0              // hot from this part of a worker's even share of calls, down to half
	minHotCalls           = 6.0              // ... but never on fewer calls than this, counted times dispatchers
	queueDepthPrior       = 2.0              // own calls counted a worker that weigh as much as the queue depths
	minOwnCalls           = 3.0              // own calls counted a worker from which on they judge workers ...
	manyDispatchers       = 10               // ... and always where there are fewer dispatchers than this
)

// updateHotSet ranks the functions and promotes or demotes them.
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

// updateHot decides whether a function is hot, and sizes its group by calls and the queue depths they met.
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
		f.rotation = int(mix(b.seed+uint64(b.now)) % 1024) // dispatchers begin at different workers
	}
}

// leastLoadedGroup finds the start of a group with the fewest hot calls; within the noise, the first one.
func (b *Balancer) leastLoadedGroup(f *function) int {
	best := 0
	least := 0.0
	last := min(len(b.ready), maxGroupStarts*f.groupSize) - f.groupSize
	for start := 0; start == 0 || start <= last && !b.lowTraffic(); start += f.groupSize {
		calls := 0.0
		for i := range f.groupSize {
			calls += b.workerAt(f, start+i).hotCalls
		}
		if start == 0 || calls+math.Sqrt(calls+least) < least {
			best = start
			least = calls
		}
	}
	return best
}

// lowTraffic reports whether own calls are too few to judge single workers by, and only a small part of all.
func (b *Balancer) lowTraffic() bool {
	return b.hotSet.callsPerWorker < minOwnCalls && b.settings.Dispatchers >= manyDispatchers
}
