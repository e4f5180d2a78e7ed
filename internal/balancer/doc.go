// Package balancer decides, for one dispatcher, which worker each attempt of a request goes to, where
// functions are loaded, and how each request ends.
//
// A [Balancer] takes events in time order and returns the actions to carry out. It has no clock, does no
// I/O and starts no goroutines, so that equal settings, seed and events give equal actions. It is not safe
// for concurrent use; one goroutine owns it.
//
// The decisions are in these files, one concern each; deploy/balancer.toml lists them under policy:
//
//   - sweep.go: periodic checks, and the subscription to the endpoint list
//   - hotset.go: which functions are hot and how many workers serve them
//   - admission.go: new requests, their weights and the limit of their wait
//   - placement.go: the choice of a worker
//   - loadorders.go: load orders and their budget
//   - slowstart.go: which requests a worker may get while it warms up
//   - attempts.go: sending, retrying, hedging and the final answer
//   - dedup.go: which workers drop a repeat, and within which time
//   - outcome.go: what changes when an attempt ends
//   - starttimes.go: when workers started, according to the endpoint list
//   - leases.go: which workers have a valid lease
//   - keepalive.go: load orders that renew the leases of workers before they expire
//   - restarts.go: workers that may have restarted while discovery is out of sync
//   - outlier.go: ejection of workers that fail, are slow, reject requests or do not answer
//   - zone.go: ejection of zones that cannot be reached
//
// The other files hold settings, events, actions, state, estimates and arithmetic, and decide nothing.
// Their small types (slowStart, concurrencyWindow, ejection, tokenBucket, loadBudget, latencyHistory,
// failureTest) hold one quantity each, which the files above change.
//
// Source: the rules that the balancer keeps (drains, retries by class, slow start, the load budget, one
// final answer in time) and their figures come from the deployment's settings and the platform's
// protocol. Placement follows the design note on hot and rare functions.
//
// Terms:
//
//   - A ready worker is named as ready by the endpoint list and, with Settings.EndpointLeases, has a valid
//     lease (see permit.Lease).
//   - Evidence that a worker is ready is a call that it accepted or a load that it started.
//   - Discovery is out of sync while the last sync is at least [StaleSync] old.
//   - An attempt or a load order is pending, or in flight, from its Send or Load to the event of its end.
//   - A copy is an instance of a function at a worker. Which copies are loaded is assumed from the attempts
//     and load orders of this dispatcher.
//   - The group of a function consists of the workers that serve it in turn. The group of a rare function,
//     that is, one that is not hot, is its primary worker alone.
//   - The calls of a function are this dispatcher's requests for it, counted with exponential decay
//     (callDecay).
//
// Points in time are durations on the clock of Handle's now. Times in seconds are float64.
package balancer
