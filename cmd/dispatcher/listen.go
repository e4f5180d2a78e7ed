package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// listenTimeout is how long the address may be in use by the previous process. The platform expects an answer to its
	// first CHECK within 30 s (source: client protocol).
	listenTimeout = 20 * time.Second
	// listenRetryInterval is the time between two attempts to listen.
	listenRetryInterval = 5 * time.Millisecond
)

// listen opens a listener. While the address is in use, as by a previous process that is still draining, it retries until
// the deadline or until a signal to terminate arrives.
func listen(open func() (net.Listener, error), deadline time.Time, terminate <-chan os.Signal) (net.Listener, error) {
	for {
		listener, err := open()
		retry := errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(deadline)
		if !retry {
			return listener, err
		}
		select {
		case received := <-terminate:
			return nil, fmt.Errorf("%w: told to end by %v", err, received)
		case <-time.After(listenRetryInterval):
		}
	}
}
