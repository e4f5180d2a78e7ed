package resp

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against connections that are never read again because the configuration sets no number of cores.
func TestWorkIsPaidForWithoutANumberOfCores(t *testing.T) {
	units := newSharedUnits(0)
	account := &workAccount{}
	for range 100 {
		units.take(account, sharedUnitBurst)
	}
	select {
	case <-units.take(account, 1).done:
	case <-time.After(2 * time.Second):
		assert.Fail(t, "the units are not granted")
	}
}

// Guards against a client that is not read for seconds because the refused calls of others are paid for first (incident of floods).
func TestUnitsAreGrantedToTheConnectionThatOwesLeast(t *testing.T) {
	queue := newWorkQueue(sharedUnitRate, sharedUnitBurst)
	var last *workGrant
	for range 60 {
		last = queue.take(&workAccount{}, 2*sharedUnitBurst)
	}
	<-queue.take(&workAccount{}, unitsPerUnservedRun).done
	assert.False(t, last.isDone(), "the units of the others were granted first")
}

// Guards against clients that get a larger share of the units by closing their connections and coming again (incident of floods).
func TestClosedConnectionsHaveNoShareOfTheUnits(t *testing.T) {
	queue := newWorkQueue(sharedUnitRate, sharedUnitBurst)
	for range 1000 {
		queue.leave(queue.take(&workAccount{}, sharedUnitBurst))
	}
	select {
	case <-queue.take(&workAccount{}, sharedUnitBurst).done:
	case <-time.After(time.Second): // of the 16 s that the units of the closed ones take
		assert.Fail(t, "the units are not granted")
	}
}

// Of connections that wait, each gets its part of the units, also if it asks for few at a time and the others for many.
func TestWaitingConnectionsShareUnitsEvenly(t *testing.T) {
	const few, many, grants = 4, 64, 16
	queue := newWorkQueue(sharedUnitRate, 1)
	var modest, greedy workAccount
	queue.take(&workAccount{}, many) // the others wait from here on
	var modestGrants, greedyGrants []*workGrant
	for range grants {
		greedyGrants = append(greedyGrants, queue.take(&greedy, many))
	}
	for range grants {
		modestGrants = append(modestGrants, queue.take(&modest, few))
	}
	<-modestGrants[grants-1].done // as many units as one grant of the other
	assert.False(t, greedyGrants[1].isDone(), "the greedy connection has got more than its half")
}
