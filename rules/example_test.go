package rules_test

import (
	"fmt"
	"time"

	"kitefall/rules"
)

// A dispatcher asks for a copy before it sends a call to a worker that is not known to hold one.
func Example() {
	b, err := rules.New(rules.Settings{
		Peers:        1,
		MaxAttempts:  3,
		SecondCopies: true,
		Orders:       true,
		Keep:         10 * time.Second,
		Classes: []rules.Class{{Name: "render", Worth: 1, Aim: time.Second, Deadline: 3 * time.Second,
			Effect: rules.Safe}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	show := func(actions []rules.Action) {
		for _, a := range actions {
			if _, timer := a.(rules.Wake); !timer {
				fmt.Printf("%T %+v\n", a, a)
			}
		}
	}
	show(b.Handle(0, rules.ListEvent{Workers: []rules.Worker{{ID: "w1", Weight: 1}}}))
	show(b.Handle(time.Millisecond, rules.RequestEvent{ID: 7, Function: "thumbnail", Class: "render",
		TimeLeft: 3 * time.Second, Lanes: 1}))
	show(b.Handle(400*time.Millisecond, rules.LoadedEvent{Worker: "w1", Function: "thumbnail", Status: rules.OK,
		Took: 399 * time.Millisecond, Copies: 1}))
	show(b.Handle(500*time.Millisecond, rules.OutcomeEvent{ID: 7, Worker: "w1", Status: rules.OK,
		Took: 100 * time.Millisecond, Closed: true}))
	// Output:
	// rules.Load {Worker:w1 Function:thumbnail Copies:1 Within:0s}
	// rules.Send {ID:7 Worker:w1 Limit:0s Within:0s}
}
