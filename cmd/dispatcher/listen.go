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
	// listenTimeout is how long, from the first attempt, the program retries to listen at an address that the previous
	// process still uses. It is below the 30 s within which the platform expects an answer to its first CHECK (source:
	// client protocol).
	listenTimeout = 20 * time.Second
	// listenRetryInterval is the pause between two attempts to listen.
	listenRetryInterval = 5 * time.Millisecond
)

// listen opens a listener. While the address is in use, for example by a previous process that is still draining, listen
// retries until the deadline or until a signal arrives on terminate.
func listen(open func() (net.Listener, error), deadline time.Time, terminate <-chan os.Signal) (net.Listener, error) {
	for {
		listener, err := open()
		retry := errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(deadline)
		if !retry {
			return listener, err
		}
		select {
		case sig := <-terminate:
			return nil, fmt.Errorf("%w: told to end by %v", err, sig)
		case <-time.After(listenRetryInterval):
		}
	}
}
