package soak

import (
	"fmt"
	"net/http"
	"time"
)

// The operators' calls (source: operation page).
const (
	pathReady    = "/api/ready"
	pathEvacuate = "/api/evacuate"
	pathRejoin   = "/api/rejoin"
)

// Times of an evacuation (source: operation page).
const (
	operatorTimeout   = time.Second            // every call is answered within this
	readyAskInterval  = 100 * time.Millisecond // between two questions whether a dispatcher is ready
	acceptAfterNo     = 200 * time.Millisecond // new connections still come for so long after the first no
	evacuateWithin    = 4 * time.Second        // after this no client is held
	recentRequest     = 2 * time.Second        // a connection with a request of this time must not be held
	rejoinWithin      = 2 * time.Second        // after the call to rejoin the dispatcher is ready
	evacuateTimeSlack = timeSlack + schedulingSlack
)

// callOperators makes an operators' call, with a connection of its own, and reports whether the answer was a yes.
func (f *Fleet) callOperators(number int, method, path string) (yes bool, err error) {
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

// evacuation is one call to send the clients of a dispatcher away, while it is watched.
type evacuation struct {
	fleet  *Fleet
	number int
	record Evacuation
}

// EvacuateDispatcher has a dispatcher send its clients away, looks after the time for it whether it has, and has it take
// clients again after another while.
func (f *Fleet) EvacuateDispatcher(number int, length time.Duration) {
	e := &evacuation{fleet: f, number: number, record: Evacuation{Dispatcher: number, Run: f.currentRun(number), Called: Now()}}
	e.call(pathEvacuate)
	e.awaitNo()
	time.Sleep(e.record.Called + evacuateWithin + evacuateTimeSlack - Now())
	e.checkEmpty()
	time.Sleep(length)
	e.rejoin()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuations = append(f.evacuations, e.record)
}

func (e *evacuation) note(format string, arguments ...any) {
	e.record.Problems = append(e.record.Problems, fmt.Sprintf(format, arguments...))
}

// call makes an operators' call that has to be answered with yes.
func (e *evacuation) call(path string) {
	if yes, err := e.fleet.callOperators(e.number, http.MethodPut, path); !yes || err != nil {
		e.note("call %s: yes is %t, error %v", path, yes, err)
	}
}

// awaitNo asks whether the dispatcher is ready until it says no. Clients make no new connections a little later.
func (e *evacuation) awaitNo() {
	addr := e.fleet.dispatcherAddr(e.number)
	for Now() < e.record.Called+evacuateWithin {
		if !askReady(addr) {
			e.fleet.setAcceptUntil(e.number, Now()+acceptAfterNo)
			return
		}
		time.Sleep(readyAskInterval)
	}
	e.note("it still says that it takes work")
}

// checkEmpty looks whether the dispatcher still says that it is ready, or holds clients that it should not.
func (e *evacuation) checkEmpty() {
	if yes, err := e.fleet.callOperators(e.number, http.MethodGet, pathReady); yes || err != nil {
		e.note("call %s: yes is %t, error %v", pathReady, yes, err)
	}
	for _, c := range e.fleet.clientsOf(e.number) {
		for _, problem := range c.heldConns() {
			e.note("%s", problem)
		}
	}
}

// rejoin has the dispatcher take clients again.
func (e *evacuation) rejoin() {
	e.call(pathRejoin)
	for begin := Now(); Now() < begin+rejoinWithin+evacuateTimeSlack; time.Sleep(readyAskInterval) {
		if askReady(e.fleet.dispatcherAddr(e.number)) {
			e.fleet.setAcceptUntil(e.number, 0)
			return
		}
	}
	e.note("it does not take clients again")
}

// setAcceptUntil sets until when clients make new connections to a dispatcher; 0: for ever.
func (f *Fleet) setAcceptUntil(number int, until time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatchers[number].acceptUntil = until
}

// clientsOf returns the clients of a dispatcher.
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

// heldConns returns in words the open connections that are idle, or had a request lately.
func (c *client) heldConns() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var held []string
	for i, conn := range c.conns {
		if conn == nil || conn.closed {
			continue
		}
		unused := Now() - conn.lastSent
		if len(conn.open) == 0 || unused < recentRequest {
			held = append(held, fmt.Sprintf("connection %d is held with %d requests open, the last sent %.3f s ago", i,
				len(conn.open), unused.Seconds()))
		}
	}
	return held
}
