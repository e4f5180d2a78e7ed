// Command 10 plays a case of the second review: a device waits for the answer to its ticket while the dispatcher is told to end.
// The process ends by itself, and the poll that it had taken gets no answer.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"syscall"
	"time"

	"kitefall/review/peers2"
)

const (
	polls      = 3
	wait       = 12               // seconds that each poll may be held; deploy/invoke.toml allows 20
	killAfter  = 15 * time.Second // after SIGTERM; the earliest time that the page allows is 3.2 s
	delay      = "40"             // seconds before which no run of the ticket begins
	tillSignal = time.Second
)

func main() { peers2.Main(play) }

// outcome is what a device got for a poll.
type outcome struct {
	number int
	reply  peers2.Reply
	err    error
}

func play(c *peers2.Case) (held bool, err error) {
	worker := &peers2.Worker{UID: "s-a", Record: c.Record, LoadTime: 640 * time.Millisecond, Run: func(r *peers2.Request) {
		time.Sleep(80 * time.Millisecond)
		r.Answer(peers2.CodeOK, "remark=hot", `{"booked":true}`)
	}}
	if err := worker.Listen(); err != nil {
		return false, err
	}
	site, err := peers2.StartSite(c, []*peers2.Worker{worker}, map[string]string{peers2.TurnosDomain + "/desk/a": "hospital-san-roque"})
	if err != nil {
		return false, err
	}
	defer site.Close()
	outcomes := make(chan outcome, polls)
	for i := range polls {
		client, transport, err := site.Own.Device("/desk/a", site.Own)
		if err != nil {
			return false, err
		}
		transport.DisableKeepAlives = true // a request on a kept connection would be sent again
		ticket, err := deferCall(c, client, site.URL, fmt.Sprintf(`{"slot":%d}`, i))
		if err != nil {
			return false, err
		}
		go func() {
			c.Logf("device %d: GET %s, to wait for %d s", i, ticket, wait)
			reply, err := poll(client, site.URL+ticket)
			outcomes <- outcome{number: i, reply: reply, err: err}
		}()
	}
	time.Sleep(tillSignal)
	if c.Trouble {
		c.Logf("SIGTERM")
		if err := site.Dispatcher.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		defer time.AfterFunc(killAfter, func() {
			c.Logf("SIGKILL")
			site.Dispatcher.Signal(syscall.SIGKILL)
		}).Stop()
	}
	return report(c, outcomes)
}

// deferCall asks for a deferred reserva and returns the path of its ticket.
func deferCall(c *peers2.Case, client *http.Client, url, body string) (ticket string, err error) {
	r, err := peers2.NewInvocation(url, "confirm-appointment", body)
	if err != nil {
		return "", err
	}
	r.Header.Set("Prefer", "respond-async")
	r.Header.Set("Request-Delay", delay)
	reply, err := peers2.Send(client, r)
	if err == nil && reply.Status != http.StatusAccepted {
		err = fmt.Errorf("status %d: %s", reply.Status, reply.Body)
	}
	c.Logf("device: POST %s, deferred: %d %s", body, reply.Status, filepath.Base(reply.Location))
	return reply.Location, err
}

func poll(client *http.Client, url string) (peers2.Reply, error) {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return peers2.Reply{}, err
	}
	r.Header.Set("Prefer", fmt.Sprintf("wait=%d", wait))
	return peers2.Send(client, r)
}

// report returns whether each poll got a whole answer.
func report(c *peers2.Case, outcomes <-chan outcome) (held bool, err error) {
	held = true
	for range polls {
		select {
		case o := <-outcomes:
			if o.err != nil {
				held = false
				c.Logf("device %d: the connection ended with no whole answer: %v", o.number, o.err)
				continue
			}
			c.Logf("device %d: %d %s", o.number, o.reply.Status, o.reply.Body)
		case <-time.After(killAfter + wait*time.Second):
			return false, errors.New("a poll neither ended nor failed")
		}
	}
	return held, nil
}
