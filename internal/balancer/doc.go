// Package balancer decides, for one dispatcher, which worker each attempt of a request goes to, where
// functions are loaded, and how each request ends.
//
// A [Balancer] is fed events in time order and returns the actions to carry out. It has no clock, does no I/O
// and starts no goroutines: equal settings, seed and events give equal actions. It is not safe for
// concurrent use; one goroutine owns it.
//
// The decisions are in the files that deploy/balancer.toml lists under policy, one concern each:
//
//   - sweep.go: what is looked at periodically, and polls of the endpoint list
//   - hotset.go: which functions are hot and how many workers serve them
//   - admission.go: new requests, their weight, the end of their wait
//   - placement.go: the choice of a worker
//   - loadorders.go: load orders and their budget
//   - slowstart.go: what a worker that is warming up may receive
//   - attempts.go: sending, retrying, hedging and the final answer
//   - dedup.go: where and how long a repeat is dropped by the workers
//   - outcome.go: what the end of an attempt teaches
//   - starttimes.go: when workers started, by what the endpoint list tells
//   - leases.go: when what is known of a worker is too old to be relied on
//   - restarts.go: workers that may have restarted while discovery is silent
//   - outlier.go: ejection of workers that fail, lag, reject or keep silent
//   - zone.go: zones that cannot be reached
//
// The other files hold settings, events, actions, state, estimates and arithmetic, and decide nothing. Their
// small types (slowStart, concurrencyWindow, ejection, tokenBucket, loadBudget, latencyHistory, failureTest)
// keep one quantity each; the files above say when they change.
//
// Source: the rules that it keeps (drains, retries by class, slow start, the load budget, one final answer
// in time) and their figures come from the deployment's settings and the platform's protocol; placement
// follows the design note on hot and rare functions.
//
// Times are durations on the clock of the now that Handle gets; numbers of seconds are float64.
package balancer
