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

// errTerminating is returned to operators for operations that a terminating process does not carry out.
var errTerminating = errors.New("the process has been told to end")

// adminOperations implements admin.Operations: it carries out operators' requests on the server.
type adminOperations struct{ server *server }

func (o adminOperations) Ready() bool { return o.server.ready() }

func (o adminOperations) Evacuate() error {
	phase := o.server.drainState.Evacuate(time.Now())
	slog.Info("operators: told to send clients away", "drain", phase.String())
	return nil
}

func (o adminOperations) Rejoin() error {
	phase := o.server.drainState.Rejoin()
	slog.Info("operators: told to take clients again", "drain", phase.String())
	if phase == drain.Terminating {
		return errTerminating
	}
	return nil
}

// openAdmin listens for operators' requests at the configured address and serves them in the background until the end of
// the process. Without an address in the configuration it does nothing. An error of the server is sent to s.serveErrors.
func (s *server) openAdmin(terminate <-chan os.Signal) error {
	if s.config.Admin == "" {
		return nil
	}
	open := func() (net.Listener, error) { return net.Listen("tcp", s.config.Admin) }
	listener, err := listen(open, time.Now().Add(listenTimeout), terminate)
	if err != nil {
		return err
	}
	adminServer := admin.New(adminOperations{server: s}, s.descriptors.Operators)
	go func() {
		if err := adminServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.serveErrors <- err
		}
	}()
	slog.Info("listening for operators", "addr", s.config.Admin)
	return nil
}
