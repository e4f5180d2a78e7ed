package main

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"kitefall/internal/admin"
	"kitefall/internal/drain"
)

// errTerminating refuses what cannot be done any more.
var errTerminating = errors.New("the process has been told to end")

// operations carries out the operators' calls. It implements admin.Operations.
type operations struct{ server *server }

func (o operations) Ready() bool { return o.server.ready() }

func (o operations) Evacuate() error {
	phase := o.server.drainState.Evacuate(time.Now())
	slog.Info("operators: told to send clients away", "drain", phase.String())
	return nil
}

func (o operations) Rejoin() error {
	phase := o.server.drainState.Rejoin()
	slog.Info("operators: told to take clients again", "drain", phase.String())
	if phase == drain.Terminating {
		return errTerminating
	}
	return nil
}

// openAdmin listens for operators and answers them in the background until the end of the process, if the configuration names
// an address for it.
func (s *server) openAdmin(terminate <-chan os.Signal) error {
	if s.config.Admin == "" {
		return nil
	}
	open := func() (net.Listener, error) { return net.Listen("tcp", s.config.Admin) }
	listener, err := listen(open, time.Now().Add(listenTimeout), terminate)
	if err != nil {
		return err
	}
	operators := admin.New(operations{server: s}, s.descriptors.Operators)
	go func() {
		if err := operators.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.failed <- err
		}
	}()
	slog.Info("listening for operators", "addr", s.config.Admin)
	return nil
}
