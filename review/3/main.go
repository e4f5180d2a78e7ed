// Command 3 plays case 3: the dispatcher is killed after it has answered a repeat under an Idempotency-Key with 202, and the
// limit of a tenant's tickets is reached. See claim.txt.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"kitefall/review/standin"
)

const (
	pairs         = 3  // calls of each class in each part
	tenantTickets = 24 // kept of one tenant
	// pause is the time from a synchronous call to its repeat.
	pause = 20 * time.Millisecond
	// answerLimit is how long an accepted call may take to its final answer, beyond the longest deadline of 2.5 s.
	answerLimit = 8 * time.Second
)

func main() { standin.Main(play) }

func play(c *standin.Case) ([]string, error) {
	site, err := c.NewTurnosSite(tenantTickets, c.NewTurnosWorker("s-0001aaaa"), c.NewTurnosWorker("s-0002bbbb"))
	if err != nil {
		return nil, err
	}
	dispatcher, err := site.Start("n0")
	if err != nil {
		return nil, err
	}
	device, err := site.NewDevice("desk")
	if err != nil {
		return nil, err
	}
	afterKill, err := playKill(site, device, dispatcher)
	if err != nil {
		return nil, err
	}
	atLimit, err := playLimit(site, device)
	return append(afterKill, atLimit...), err
}

// call is a call under an Idempotency-Key.
type call struct{ path, body, key string }

// newCalls returns calls of both classes with keys that begin with the prefix.
func newCalls(prefix string) []call {
	var calls []call
	for i := range pairs {
		for class, path := range map[string]string{"reserva": standin.ReservaPath, "consulta": standin.ConsultaPath} {
			calls = append(calls, call{path: path, body: fmt.Sprintf(`{"slot":"%s-%d"}`, prefix, i),
				key: fmt.Sprintf("%s-%s-%d", prefix, class, i)})
		}
	}
	return calls
}

// playKill makes synchronous calls and repeats each under its key as a deferred one. With the disruption, the dispatcher is
// killed as soon as the repeats are accepted, and started again. It returns the accepted calls without a final answer.
func playKill(site *standin.Site, device *standin.Device, dispatcher *standin.Process) ([]string, error) {
	var synchronous sync.WaitGroup
	var tickets []string
	for _, call := range newCalls("kill") {
		synchronous.Go(func() {
			device.Do(context.Background(), http.MethodPost, call.path, call.body, "Idempotency-Key", call.key)
		})
		time.Sleep(pause)
		repeat := device.Do(context.Background(), http.MethodPost, call.path, call.body, "Idempotency-Key", call.key,
			"Prefer", "respond-async")
		if repeat.Status == http.StatusAccepted {
			tickets = append(tickets, repeat.Location)
		}
	}
	site.Record.Add("killed: %d repeats were accepted with 202", len(tickets))
	if site.Trouble {
		dispatcher.Kill()
		if _, err := site.Start("n0"); err != nil {
			return nil, err
		}
	}
	synchronous.Wait()
	var broken []string
	for _, ticket := range tickets {
		if answer := device.Await(ticket, answerLimit); !answer.Final() {
			broken = append(broken, fmt.Sprintf("killed: %s was accepted with 202 and has no final answer: %v", ticket, answer))
		}
	}
	site.Record.Add("killed: %d of %d accepted calls have no final answer", len(broken), len(tickets))
	return broken, nil
}

// playLimit makes synchronous calls under new keys. With the disruption, the tenant has as many tickets on record as it may
// have. It returns the calls that are told a ticket which has no final answer, or a wrong result.
func playLimit(site *standin.Site, device *standin.Device) ([]string, error) {
	if site.Trouble {
		if err := reachLimit(device); err != nil {
			return nil, err
		}
	}
	var broken []string
	calls := newCalls("limit")
	for _, call := range calls {
		answer := device.Do(context.Background(), http.MethodPost, call.path, call.body, "Idempotency-Key", call.key)
		if answer.Status == http.StatusAccepted {
			ticket := answer.Location
			if answer = device.Await(ticket, answerLimit); !answer.Final() {
				broken = append(broken, fmt.Sprintf("limit: the call %s was answered with 202 and %s, which has no final answer: %v",
					call.key, ticket, answer))
				continue
			}
		}
		if answer.Status == http.StatusOK && answer.Body != standin.ResultOf(call.body) {
			broken = append(broken, fmt.Sprintf("limit: the call %s has a wrong result: %v", call.key, answer))
		}
	}
	site.Record.Add("limit: %d of %d calls have no final answer", len(broken), len(calls))
	return broken, nil
}

// reachLimit makes deferred calls until one is refused because of the tenant's limit.
func reachLimit(device *standin.Device) error {
	for i := range 2 * tenantTickets {
		answer := device.Do(context.Background(), http.MethodPost, standin.ConsultaPath, fmt.Sprintf(`{"fill":%d}`, i),
			"Prefer", "respond-async")
		if answer.Status == http.StatusServiceUnavailable {
			return nil
		}
		if answer.Status != http.StatusAccepted {
			return fmt.Errorf("a call was neither accepted nor refused: %v", answer)
		}
	}
	return errors.New("the limit of tickets was not reached")
}
