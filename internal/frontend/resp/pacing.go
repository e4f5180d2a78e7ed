package resp

import (
	"errors"
	"runtime"
	"time"

	"golang.org/x/time/rate"

	"kitefall/internal/metrics"
)

// This file shares the processor among the clients' connections. A reader gives way to the other goroutines after
// requestsPerTurn requests. Requests that end without being served cost their connection work units. Served ones earn it some, and it
// has a small rate of units of its own. Beyond these, connections share one rate fairly (see workQueue): the reader of each waits until
// its last request is paid for, and reads nothing meanwhile, so that the kernel's receive window holds the client back.

// requestsPerTurn is how many requests a reader handles before it gives way.
const requestsPerTurn = 32

// Work units, each about the work of refusing a small request.
const (
	unitsPerReply       = 1
	unitsPerUnservedRun = 4 // a call that was submitted and not served
	unitsPerServedRun   = 4 // credited for a served call, so that a client that is served most of the time is not held up
	unitsPerCancel      = 8 // a call that was submitted, and whose cancellation may have to reach a worker
	bytesPerUnit        = 4 << 10
)

// Rates of work units, per second, and the units that may be used at once.
const (
	connUnitRate    = 50
	connUnitBurst   = 128
	maxEarnedUnits  = 128
	sharedUnitRate  = 8000 // for each core
	sharedUnitBurst = 128
)

// The metrics labels of pauses.
const (
	pausedForWork    = "work"    // the connection's requests cost more than its share
	pausedForAnswers = "answers" // the client does not take its answers
)

// The times of pauses.
const (
	// minPause is the shortest time until a workQueue grants units again, so that each wake-up grants several.
	minPause = 2 * time.Millisecond
	// departureCheckInterval is the time between two checks, during a pause, whether the client has left.
	departureCheckInterval = 20 * time.Millisecond
)

// errClientLeft is returned once the client has closed its connection, also if requests that it sent before are unread.
var errClientLeft = errors.New("the client has closed the connection")

// newSharedUnits returns the queue for the work units that all connections share. A number of cores that is not set counts as one.
func newSharedUnits(cores float64) *workQueue {
	if cores <= 0 {
		cores = 1
	}
	return newWorkQueue(sharedUnitRate*cores, sharedUnitBurst)
}

// newOwnUnits returns the limiter of a connection's own work units. There are none at first, so that a client gains nothing if it comes
// again on a new connection.
func newOwnUnits() *rate.Limiter {
	units := rate.NewLimiter(connUnitRate, connUnitBurst)
	units.AllowN(time.Now(), connUnitBurst)
	return units
}

// beforeRead prepares to read the next request: it gives way, waits until the connection's work is paid for and its answers are
// taken, and checks that the client has not left. buffered says that the next request was read at least in part.
func (c *clientConn) beforeRead(buffered bool) error {
	c.handled++
	if c.handled%requestsPerTurn == 0 {
		runtime.Gosched()
	}
	if !buffered && c.netConn.PeerHasClosed() {
		return errClientLeft
	}
	if c.overLimit && !buffered && !c.netConn.HasUnread() {
		c.overLimit = false
	}
	if err := c.payForWork(); err != nil {
		return err
	}
	return c.awaitAnswersTaken()
}

// earnUnits credits a served call to the connection.
func (c *clientConn) earnUnits() {
	for {
		owed := c.owedUnits.Load()
		if owed <= -maxEarnedUnits || c.owedUnits.CompareAndSwap(owed, max(owed-unitsPerServedRun, -maxEarnedUnits)) {
			return
		}
	}
}

// payForWork waits until the units that the connection owes are granted. It returns an error if the client leaves or the connection is
// closed.
func (c *clientConn) payForWork() error {
	units := c.owedUnits.Load()
	if units <= 0 {
		return nil
	}
	c.owedUnits.Add(-units)
	if c.ownUnits.AllowN(time.Now(), int(units)) {
		return nil
	}
	grant := c.server.sharedUnits.take(&c.account, int(units))
	if grant.isDone() {
		return nil
	}
	metrics.ClientReadsPaused.Add(pausedForWork)
	defer c.server.sharedUnits.leave(grant)
	for !grant.isDone() {
		if err := c.waitStep(departureCheckInterval, grant.done); err != nil {
			return err
		}
	}
	return nil
}

// awaitAnswersTaken waits until there is room for the answers to all requests that may be in flight and to the next one. It returns
// an error if the client leaves or the connection is closed.
func (c *clientConn) awaitAnswersTaken() error {
	if c.hasAnswerRoom() {
		return nil
	}
	metrics.ClientReadsPaused.Add(pausedForAnswers)
	for !c.hasAnswerRoom() {
		if err := c.waitStep(departureCheckInterval, c.answersTaken); err != nil {
			return err
		}
	}
	return nil
}

// waitStep waits for a time, or until wake is ready. It returns an error if the client has left or the connection is closed.
func (c *clientConn) waitStep(wait time.Duration, wake <-chan struct{}) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-c.done:
		return errConnClosed
	case <-wake:
	case <-timer.C:
	}
	if c.netConn.PeerHasClosed() {
		return errClientLeft
	}
	return nil
}

func (c *clientConn) hasAnswerRoom() bool { return len(c.answers) < answerQueueSize-maxRequestsPerConn }
