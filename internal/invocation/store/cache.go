package store

import "kitefall/internal/invocation"

// maxCached is the number of invocations at which the cache is cleared.
const maxCached = 1024

// invocationCache holds recently changed invocations, so that the writer goroutine need not decode them for their next
// change. It is cleared when a change is rolled back, because it may contain that change. It is not safe for concurrent
// use.
type invocationCache struct {
	byID map[string]*invocation.Invocation
}

func newInvocationCache() invocationCache {
	return invocationCache{byID: map[string]*invocation.Invocation{}}
}

// get returns a copy of a cached invocation, or nil.
func (c *invocationCache) get(id string) *invocation.Invocation {
	if inv := c.byID[id]; inv != nil {
		return new(*inv)
	}
	return nil
}

// put caches a copy of an invocation without its body. A full cache is cleared first.
func (c *invocationCache) put(inv *invocation.Invocation) {
	if len(c.byID) >= maxCached {
		c.clear()
	}
	cached := *inv
	cached.Body = nil
	c.byID[inv.ID] = &cached
}

func (c *invocationCache) remove(id string) { delete(c.byID, id) }

func (c *invocationCache) clear() { clear(c.byID) }
