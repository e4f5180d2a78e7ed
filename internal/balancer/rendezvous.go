package balancer

import (
	"cmp"
	"slices"
)

const (
	// minRendezvousPrefix is how many workers of an order are kept at least, where there are so many.
	minRendezvousPrefix = 160
	// maxListChanges is how many changes of the list are remembered: an order that lacks more is made anew.
	maxListChanges = 512
)

// rendezvous is the weighted rendezvous order of the ready workers for one function, as far as it is needed:
// a function goes to the first few workers, and a fleet may have thousands. Changes of the list are taken in
// one by one, since an order that was made anew at each change would cost more than all requests.
type rendezvous struct {
	hash           uint64    // of the function
	prefix         []*worker // the first workers of the order
	complete       bool      // there are no others
	appliedChanges int       // of the list that are taken in, see listChangeLog; 0: it was never made
}

// rankedWorker is a worker with its key in the order that is being made.
type rankedWorker struct {
	key    float64
	worker *worker
}

func (v rankedWorker) compare(w rankedWorker) int {
	return cmp.Or(cmp.Compare(v.key, w.key), cmp.Compare(v.worker.ID, w.worker.ID))
}

func (r *rendezvous) rank(w *worker) rankedWorker {
	return rankedWorker{key: rendezvousKey(r.hash, w.hash, w.fullWeight), worker: w}
}

// listChangeLog is which workers became ready, ceased to be or changed their weight, in turn. Changes are
// numbered from 1.
type listChangeLog struct {
	last    int       // number of the last one
	workers []*worker // the most recent ones
}

func (c *listChangeLog) add(w *worker) {
	c.last++
	c.workers = append(c.workers, w)
	if len(c.workers) > 2*maxListChanges {
		c.workers = slices.Clone(lastN(c.workers, maxListChanges))
	}
}

// since returns the workers that have changed after a change, and whether all of them are remembered.
func (c *listChangeLog) since(change int) ([]*worker, bool) {
	missing := c.last - change
	if change == 0 || missing > min(len(c.workers), maxListChanges) {
		return nil, false
	}
	return lastN(c.workers, missing), true
}

// workerAt returns the worker at an index of a function's order, which goes round.
func (b *Balancer) workerAt(f *function, index int) *worker {
	index %= len(b.ready)
	r := &f.rendezvous
	if r.appliedChanges != b.changes.last {
		b.applyChanges(r)
	}
	if index >= len(r.prefix) {
		b.rebuildOrder(r, 2*index)
	}
	return r.prefix[index]
}

// applyChanges brings an order up to date with the list.
func (b *Balancer) applyChanges(r *rendezvous) {
	changed, known := b.changes.since(r.appliedChanges)
	if !known {
		b.rebuildOrder(r, minRendezvousPrefix)
		return
	}
	r.appliedChanges = b.changes.last
	// All go before any comes, since the keys of the others are what the order is by.
	r.prefix = slices.DeleteFunc(r.prefix, func(w *worker) bool { return slices.Contains(changed, w) })
	for i, w := range changed {
		if w.listed && !slices.Contains(changed[:i], w) {
			r.insert(w)
		}
	}
}

// insert puts a worker in its place, unless that is beyond what is kept of the order.
func (r *rendezvous) insert(w *worker) {
	place, _ := slices.BinarySearchFunc(r.prefix, r.rank(w), func(other *worker, ranked rankedWorker) int {
		return r.rank(other).compare(ranked)
	})
	if place < len(r.prefix) || r.complete {
		r.prefix = slices.Insert(r.prefix, place, w)
	}
}

// rebuildOrder makes an order anew, and keeps so many workers of it at least.
func (b *Balancer) rebuildOrder(r *rendezvous, length int) {
	ranked := b.rankBuffer[:0]
	for _, w := range b.ready {
		ranked = append(ranked, r.rank(w))
	}
	b.rankBuffer = ranked
	length = min(max(length, minRendezvousPrefix), len(ranked))
	selectSmallest(ranked, length)
	slices.SortFunc(ranked[:length], rankedWorker.compare)
	r.prefix = slices.Grow(r.prefix[:0], length)
	for _, v := range ranked[:length] {
		r.prefix = append(r.prefix, v.worker)
	}
	r.complete = length == len(ranked)
	r.appliedChanges = b.changes.last
}

// selectSmallest moves the first n in the order to the front, in any order among them (quickselect).
func selectSmallest(ranked []rankedWorker, n int) {
	for n > 0 && n < len(ranked) {
		split := partition(ranked)
		switch {
		case split < n:
			ranked = ranked[split+1:]
			n -= split + 1
		default:
			ranked = ranked[:split]
		}
	}
}

// partition moves what comes before the middle element to its front, and returns that element's new index.
func partition(ranked []rankedWorker) int {
	last := len(ranked) - 1
	ranked[last/2], ranked[last] = ranked[last], ranked[last/2]
	split := 0
	for i := range last {
		if ranked[i].compare(ranked[last]) < 0 {
			ranked[i], ranked[split] = ranked[split], ranked[i]
			split++
		}
	}
	ranked[split], ranked[last] = ranked[last], ranked[split]
	return split
}
