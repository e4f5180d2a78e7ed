package soak

import (
	"fmt"
	"net/http"
	"time"
)

// Paths of the operators' calls (source: operation page).
const (
	pathReady    = "/api/ready"
	pathEvacuate = "/api/evacuate"
	pathRejoin   = "/api/rejoin"
)

// Times of an evacuation (source: operation page).
const (
	operatorTimeout      = time.Second            // each operators' call must be answered within this
	readyPollInterval    = 100 * time.Millisecond // time between two CHECK requests for readiness
	connectAfterNotReady = 200 * time.Millisecond // clients still open connections for this long after the first "not ready"
	evacuationTimeLimit  = 4 * time.Second        // from the evacuate call until idle and recently used connections must be closed
	recentRequestWindow  = 2 * time.Second        // a connection counts as recently used this long after its last request
	rejoinTimeLimit      = 2 * time.Second        // from the rejoin call until the dispatcher is ready
	evacuationTimeSlack  = timeSlack + schedulingSlack
)

// callOperators makes an operators' call on a connection of its own and reports whether the status was a success (2xx).
func (f *Fleet) callOperators(number int, method, path string) (ok bool, err error) {
	client := &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+f.adminAddr(number)+path, nil)
	if err != nil {
		return false, err
	}
	response, err := client.Do(request)
	if err != nil {
		return false, err
	}
	response.Body.Close()
	return response.StatusCode >= 200 && response.StatusCode < 300, nil
}

// evacuationCheck carries out one evacuation of a dispatcher and records the problems that it finds.
type evacuationCheck struct {
	fleet  *Fleet
	number int
	record Evacuation
}

// EvacuateDispatcher makes a dispatcher drain its client connections, checks after evacuationTimeLimit that it has done so, and
// makes it take clients again when length has passed since the check.
func (f *Fleet) EvacuateDispatcher(number int, length time.Duration) {
	e := &evacuationCheck{fleet: f, number: number, record: Evacuation{Dispatcher: number, Run: f.currentRun(number),
		CalledAt: Now()}}
	e.callAPI(pathEvacuate)
	e.awaitNotReady()
	time.Sleep(e.record.CalledAt + evacuationTimeLimit + evacuationTimeSlack - Now())
	e.checkClientsGone()
	time.Sleep(length)
	e.rejoin()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuations = append(f.evacuations, e.record)
}

func (e *evacuationCheck) addProblem(format string, arguments ...any) {
	e.record.Problems = append(e.record.Problems, fmt.Sprintf(format, arguments...))
}

// callAPI makes an operators' call that must succeed.
func (e *evacuationCheck) callAPI(path string) {
	if ok, err := e.fleet.callOperators(e.number, http.MethodPut, path); !ok || err != nil {
		e.addProblem("call %s: success %t, error %v", path, ok, err)
	}
}

// awaitNotReady waits until the dispatcher answers that it is not ready. Clients stop opening connections connectAfterNotReady
// later.
func (e *evacuationCheck) awaitNotReady() {
	addr := e.fleet.dispatcherAddr(e.number)
	for Now() < e.record.CalledAt+evacuationTimeLimit {
		if !askReady(addr) {
			e.fleet.setConnectUntil(e.number, Now()+connectAfterNotReady)
			return
		}
		time.Sleep(readyPollInterval)
	}
	e.addProblem("the dispatcher still answers CHECK that it is ready")
}

// checkClientsGone records a problem if the dispatcher still answers that it is ready, and one for each wrongly held connection.
func (e *evacuationCheck) checkClientsGone() {
	if ok, err := e.fleet.callOperators(e.number, http.MethodGet, pathReady); ok || err != nil {
		e.addProblem("call %s: success %t, want false, error %v", pathReady, ok, err)
	}
	for _, c := range e.fleet.clientsOf(e.number) {
		for _, problem := range c.wronglyHeldConns() {
			e.addProblem("%s", problem)
		}
	}
}

// rejoin makes the dispatcher take clients again and waits until it is ready.
func (e *evacuationCheck) rejoin() {
	e.callAPI(pathRejoin)
	for begin := Now(); Now() < begin+rejoinTimeLimit+evacuationTimeSlack; time.Sleep(readyPollInterval) {
		if askReady(e.fleet.dispatcherAddr(e.number)) {
			e.fleet.setConnectUntil(e.number, 0)
			return
		}
	}
	e.addProblem("the dispatcher is not ready in time after the call to rejoin")
}

// setConnectUntil sets when clients stop opening connections to a dispatcher; 0: never.
func (f *Fleet) setConnectUntil(number int, until time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatchers[number].connectUntil = until
}

// clientsOf returns the clients that send to a dispatcher.
func (f *Fleet) clientsOf(number int) []*client {
	f.mu.Lock()
	defer f.mu.Unlock()
	var clients []*client
	for _, c := range f.clients {
		if c.dispatcher == number {
			clients = append(clients, c)
		}
	}
	return clients
}

// wronglyHeldConns describes the connections that an evacuated dispatcher should have closed: those that are idle, and those whose
// last request was sent within recentRequestWindow.
func (c *client) wronglyHeldConns() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var held []string
	for i, conn := range c.conns {
		if conn == nil || conn.closed {
			continue
		}
		sinceLastRequest := Now() - conn.lastSent
		if len(conn.pending) == 0 || sinceLastRequest < recentRequestWindow {
			held = append(held, fmt.Sprintf("connection %d is still open with %d pending requests, the last request sent %.3f s ago", i,
				len(conn.pending), sinceLastRequest.Seconds()))
		}
	}
	return held
}
