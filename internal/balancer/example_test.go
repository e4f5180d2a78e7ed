package balancer_test

import (
	"fmt"
	"time"

	"kitefall/internal/balancer"
)

// A dispatcher orders a copy before it sends a request to a worker that is not known to have one.
func Example() {
	b, err := balancer.New(balancer.Settings{
		Dispatchers: 1,
		MaxAttempts: 3,
		Hedging:     true,
		LoadOrders:  true,
		IdleTTL:     10 * time.Second,
		Classes: []balancer.Class{{Name: "render", Weight: 1, LatencyObjective: time.Second, Deadline: 3 * time.Second,
			Idempotency: balancer.Idempotent}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	show := func(actions []balancer.Action) {
		for _, a := range actions {
			if _, timer := a.(balancer.SetTimer); !timer {
				fmt.Printf("%T %+v\n", a, a)
			}
		}
	}
	show(b.Handle(0, balancer.EndpointsEvent{Workers: []balancer.Worker{{ID: "w1", Weight: 1}}}))
	show(b.Handle(time.Millisecond, balancer.RequestEvent{ID: 7, Function: "thumbnail", Class: "render",
		TimeLeft: 3 * time.Second, Concurrency: 1}))
	show(b.Handle(400*time.Millisecond, balancer.LoadEndedEvent{Worker: "w1", Function: "thumbnail", Status: balancer.OK,
		Elapsed: 399 * time.Millisecond, Copies: 1}))
	show(b.Handle(500*time.Millisecond, balancer.OutcomeEvent{ID: 7, Worker: "w1", Status: balancer.OK,
		Elapsed: 100 * time.Millisecond, Answered: true}))
	// Output:
	// balancer.Load {Worker:w1 Function:thumbnail Copies:1 StartWithin:0s ProofAge:0s}
	// balancer.Send {ID:7 Worker:w1 Timeout:0s StartWithin:0s}
}
