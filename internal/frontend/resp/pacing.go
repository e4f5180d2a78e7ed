package resp

import (
	"errors"
	"time"

	"kitefall/internal/metrics"
)

const (
	// departureCheckInterval is the time between two checks, during a pause, whether the client has left.
	departureCheckInterval = 20 * time.Millisecond
)

// errClientLeft is returned once the client has closed its connection, also if requests that it sent before are unread.
var errClientLeft = errors.New("the client has closed the connection")

// beforeRead prepares to read the next request: it waits until the client takes its answers, and checks that the
// client has not left. buffered says that the next request was read at least in part.
func (c *clientConn) beforeRead(buffered bool) error {
	if !buffered && c.netConn.PeerHasClosed() {
		return errClientLeft
	}
	return c.awaitAnswersTaken()
}

// pausedForAnswers is the metrics label of pauses in which a client does not take its answers.
const pausedForAnswers = "answers"

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
