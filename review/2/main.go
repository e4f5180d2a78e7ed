// Command 2 plays case 2: operators send the clients away while some clients read slowly and some answers are long. See
// claim.txt.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"kitefall/review/standin"
)

// seed draws when the clients send, and what.
const seed = 1

const (
	clients        = 20
	rate           = 7.0     // requests of each client in a second
	bytesPerSecond = 500_000 // that a client reads; the page says 1 MB at most
	longAnswer     = 230_000 // bytes
	longEvery      = 16      // one answer in so many is long
	functions      = 3

	evacuations = 6
	// evacuated is the time from the operators' call to send clients away to the one to take them again.
	evacuated = 4200 * time.Millisecond
	// serving is the time from that call to the next one to send clients away.
	serving = 3 * time.Second
	// readyInterval is how often the front asks whether the dispatcher is ready.
	readyInterval = 100 * time.Millisecond
	// lastAnswers is how long clients wait for their last answers: the longest deadline, and the time to read.
	lastAnswers = 4 * time.Second
)

func main() { standin.Main(play) }

// fleet is the load on the dispatcher: clients, and the front that keeps new connections from a dispatcher that is not ready.
type fleet struct {
	*standin.Site
	dispatcher *standin.Process
	ready      atomic.Bool   // as the front knows it
	stop       chan struct{} // closed when the clients stop sending

	mu       sync.Mutex
	requests []*request
}

// request is a request with what became of it.
type request struct {
	client, class, id string
	sentAt            time.Time
	reply             standin.Reply
	endedAt           time.Time // when the whole answer was read, or the connection ended
}

func play(c *standin.Case) ([]string, error) {
	var runs atomic.Int64
	result := func(run standin.Run) string {
		if runs.Add(1)%longEvery == 0 {
			return strings.Repeat("x", longAnswer)
		}
		return standin.ResultOf(run.Body)
	}
	var workers []*standin.Worker
	for _, uid := range []string{"s-0001aaaa", "s-0002bbbb", "s-0003cccc"} {
		worker := c.NewTurnosWorker(uid)
		worker.Result = result
		workers = append(workers, worker)
	}
	site, err := c.NewSite(standin.TurnosSettings(), "sala-norte", "std-3c", workers...)
	if err != nil {
		return nil, err
	}
	f := &fleet{Site: site, stop: make(chan struct{})}
	if f.dispatcher, err = site.Start("n0"); err != nil {
		return nil, err
	}
	f.run()
	return f.verdict(), nil
}

// run lets the clients send while the operators make their calls, and returns when every request has ended.
func (f *fleet) run() {
	var group sync.WaitGroup
	f.ready.Store(true)
	group.Go(f.askReadiness)
	for number := range clients {
		random := rand.New(rand.NewPCG(seed, uint64(number)))
		group.Go(func() { f.send(fmt.Sprintf("client %d", number), random, &group) })
	}
	time.Sleep(serving)
	for range evacuations {
		f.operate("/api/evacuate")
		time.Sleep(evacuated)
		f.operate("/api/rejoin")
		time.Sleep(serving)
	}
	close(f.stop)
	group.Wait()
}

// operate makes an operators' call. Without the disruption it does nothing.
func (f *fleet) operate(path string) {
	if f.Trouble {
		f.Record.Add("operators: PUT %s, answered with status %d", path, f.dispatcher.Operate(http.MethodPut, path))
	}
}

// askReadiness asks the dispatcher whether it is ready, as the front does.
func (f *fleet) askReadiness() {
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(readyInterval):
			f.ready.Store(f.dispatcher.Operate(http.MethodGet, "/api/ready") == http.StatusOK)
		}
	}
}

// send sends requests on one connection. It opens a new connection when the last one has ended and the dispatcher is ready.
func (f *fleet) send(name string, random *rand.Rand, group *sync.WaitGroup) {
	var client *standin.Client
	for {
		select {
		case <-f.stop:
			if client != nil {
				time.Sleep(lastAnswers)
				client.Close()
			}
			return
		case <-time.After(time.Duration(random.ExpFloat64() / rate * float64(time.Second))):
		}
		if client == nil || client.Ended() {
			if !f.ready.Load() {
				continue
			}
			var err error
			if client, err = standin.Dial(name, f.Listen, f.Record, bytesPerSecond); err != nil {
				f.Record.Add("%s cannot connect: %v", name, err)
				client = nil
				continue
			}
		}
		f.sendOne(name, client, random, group)
	}
}

// sendOne sends a request and notes what becomes of it.
func (f *fleet) sendOne(name string, client *standin.Client, random *rand.Rand, group *sync.WaitGroup) {
	r := &request{client: name, class: "consulta", id: fmt.Sprintf("%016x", random.Uint64())}
	wait := 2 * time.Second
	if random.IntN(4) == 0 {
		r.class = "reserva"
		wait = 2500 * time.Millisecond
	}
	fields := fmt.Sprintf("id=%s,wait=%d,tenant=%s,key=7f3a9c21e0b4d65%d,cost=110,spec=memory_mb:512;lanes:4;load_ms:640",
		r.id, wait.Milliseconds(), standin.DeskTenant, random.IntN(functions))
	answer, err := client.Send(r.class, fields, "slot of "+r.id)
	if err != nil {
		return
	}
	r.sentAt = time.Now()
	f.mu.Lock()
	f.requests = append(f.requests, r)
	f.mu.Unlock()
	group.Go(func() {
		r.reply = <-answer
		r.endedAt = time.Now()
	})
}

// verdict returns the requests that a worker has run and answered, and whose connection the dispatcher ended before the client
// had the whole answer. A request that crossed the end of its connection is not among them: no worker has run it.
func (f *fleet) verdict() []string {
	var broken []string
	whole, crossed := 0, 0
	for _, r := range f.requests {
		answeredAt, answered := f.answeredAt(r.id)
		switch {
		case r.reply.Word != "":
			whole++
		case !answered:
			crossed++
		default:
			broken = append(broken, fmt.Sprintf("%s of %s, class %s: a worker answered it %d ms before its connection ended (%v), %d ms "+
				"after it was sent, without the whole answer", r.id, r.client, r.class, r.endedAt.Sub(answeredAt).Milliseconds(),
				r.reply.Err, r.endedAt.Sub(r.sentAt).Milliseconds()))
		}
	}
	f.Record.Add("%d requests: %d with a whole answer, %d that no worker had answered when their connection ended, %d cut off",
		len(f.requests), whole, crossed, len(broken))
	return broken
}

// answeredAt returns when a worker has written the answer to a call, and whether one has.
func (f *fleet) answeredAt(id string) (at time.Time, answered bool) {
	for _, worker := range f.Workers {
		if at, answered = worker.AnsweredAt(id); answered {
			return at, true
		}
	}
	return at, false
}
