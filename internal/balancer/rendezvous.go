package balancer

import (
	"cmp"
	"slices"
)

const (
	// minRendezvousPrefix is how many workers of an order are kept at least, if there are that many.
	minRendezvousPrefix = 160

	// maxListChanges is how many changes of the ready workers are remembered. An order that lacks more changes
	// is rebuilt.
	maxListChanges = 512
)

// rendezvous is the start of the weighted rendezvous order of the ready workers for one function. The rest
// is not kept: a function is sent to the first few workers, and a fleet may have thousands. Changes of the
// ready workers are applied one by one, since rebuilding an order at each change would cost more than
// handling all requests.
type rendezvous struct {
	hash           uint64    // of the function's ID
	prefix         []*worker // the first workers of the order
	complete       bool      // prefix contains all ready workers
	appliedChanges int       // number of the last applied change, see listChangeLog; 0: never built
}

// rankedWorker is a worker with its sort key in an order.
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

// listChangeLog records which workers became ready, ceased to be ready or changed their weight, oldest
// first. Changes are numbered from 1.
type listChangeLog struct {
	last    int       // number of the latest change
	workers []*worker // of the latest changes; a worker may occur more than once
}

func (c *listChangeLog) add(w *worker) {
	c.last++
	c.workers = append(c.workers, w)
	if len(c.workers) > 2*maxListChanges {
		c.workers = slices.Clone(lastN(c.workers, maxListChanges))
	}
}

// since returns the workers of all changes after a given one. It returns false if some of these changes are
// no longer remembered.
func (c *listChangeLog) since(change int) ([]*worker, bool) {
	missing := c.last - change
	if change == 0 || missing > min(len(c.workers), maxListChanges) {
		return nil, false
	}
	return lastN(c.workers, missing), true
}

// workerAt returns the worker at an index of a function's order. Indexes past the end wrap around.
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

// applyChanges brings an order up to date with the ready workers.
func (b *Balancer) applyChanges(r *rendezvous) {
	changed, known := b.changes.since(r.appliedChanges)
	if !known {
		b.rebuildOrder(r, minRendezvousPrefix)
		return
	}
	r.appliedChanges = b.changes.last
	// Remove all changed workers before inserting any: an insertion compares current keys, and a worker whose
	// key has changed may be out of order.
	r.prefix = slices.DeleteFunc(r.prefix, func(w *worker) bool { return slices.Contains(changed, w) })
	for i, w := range changed {
		if w.inReady && !slices.Contains(changed[:i], w) {
			r.insert(w)
		}
	}
}

// insert adds a worker at its position, unless that position is beyond the part of the order that is kept.
func (r *rendezvous) insert(w *worker) {
	position, _ := slices.BinarySearchFunc(r.prefix, r.rank(w), func(other *worker, ranked rankedWorker) int {
		return r.rank(other).compare(ranked)
	})
	if position < len(r.prefix) || r.complete {
		r.prefix = slices.Insert(r.prefix, position, w)
	}
}

// rebuildOrder computes an order from all ready workers, and keeps at least length workers of it.
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

// selectSmallest moves the n workers that come first in the order to the front, unsorted (quickselect).
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

// partition moves the elements that come before the middle element to the front, and returns the new index
// of the middle element.
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
