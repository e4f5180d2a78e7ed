// Command 9 plays a case of the second review: a device gives up a synchronous reserva and closes its connection, and the call
// is sent to a worker all the same, once its load has ended.
package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"kitefall/review/peers2"
)

const (
	loadTime = 1800 * time.Millisecond // a load of 1.1 s, with the store 1.6 times slower
	giveUpAt = 1300 * time.Millisecond // 52% of the class's give-up time of 2.5 s
	slack    = 100*time.Millisecond + 50*time.Millisecond
	devices  = 3
)

func main() { peers2.Main(play) }

func play(c *peers2.Case) (held bool, err error) {
	began := &beginnings{at: map[string]time.Duration{}}
	worker := &peers2.Worker{UID: "s-a", Record: c.Record, LoadTime: loadTime, Run: func(r *peers2.Request) {
		time.Sleep(80 * time.Millisecond)
		c.Logf("s-a: %s has run", r.Body)
		r.Answer(peers2.CodeOK, "remark=waited", `{"booked":true}`)
	}}
	worker.Arrived = began.add
	if err := worker.Listen(); err != nil {
		return false, err
	}
	site, err := peers2.StartSite(c, []*peers2.Worker{worker}, map[string]string{peers2.TurnosDomain + "/desk/a": "hospital-san-roque"})
	if err != nil {
		return false, err
	}
	defer site.Close()
	left := map[string]time.Duration{}
	for i := range devices {
		body := fmt.Sprintf(`{"slot":%d}`, i)
		client, transport, err := site.Own.Device("/desk/a", site.Own)
		if err != nil {
			return false, err
		}
		request, err := peers2.NewInvocation(site.URL, "confirm-appointment", body)
		if err != nil {
			return false, err
		}
		c.Logf("device: POST %s", body)
		reply, err := send(c, client, request)
		if err != nil {
			transport.CloseIdleConnections()
			left[body] = c.Since()
			c.Logf("device: gave %s up and closed its connection: %v", body, err)
		} else {
			c.Logf("device: %s is answered %d %s", body, reply.Status, reply.Body)
		}
		time.Sleep(2 * time.Second)
		worker.Unload()
	}
	return report(c, began, left)
}

// send sends a request, which the device gives up after giveUpAt if there is trouble.
func send(c *peers2.Case, client *http.Client, r *http.Request) (peers2.Reply, error) {
	if !c.Trouble {
		return peers2.Send(client, r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer time.AfterFunc(giveUpAt, cancel).Stop()
	return peers2.Send(client, r.WithContext(ctx))
}

// beginnings holds when the last attempt of each call arrived at a worker, by the call's body.
type beginnings struct {
	mu sync.Mutex
	at map[string]time.Duration
}

func (b *beginnings) add(r *peers2.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at[r.Body] = r.At
}

// report returns whether no attempt began later than 0.1 s after its client had left.
func report(c *peers2.Case, began *beginnings, left map[string]time.Duration) (held bool, err error) {
	began.mu.Lock()
	defer began.mu.Unlock()
	if len(began.at) == 0 {
		return false, fmt.Errorf("no call was sent to the worker")
	}
	held = true
	for body, leftAt := range left {
		if late := began.at[body] - leftAt; late > slack {
			held = false
			c.Logf("an attempt of %s began %.3f s after its client had left", body, late.Seconds())
		}
	}
	return held, nil
}
