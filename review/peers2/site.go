package peers2

import (
	"path/filepath"
	"time"
)

// Site is a small deployment of turnos-central: one dispatcher with both frontends, its notice board and its workers.
type Site struct {
	Dispatcher *Dispatcher
	Addr       string // of the RESP frontend
	URL        string // of the invoke API
	Own        *Issuer
	Workload   *WorkloadAPI
	InvokeFile string // the operator's file

	board  *Board
	config string // path of the dispatcher's configuration
}

// readyWithin is how long a dispatcher may take to be ready.
const readyWithin = 20 * time.Second

// StartSite starts a deployment with the given workers, which listen already, and tenants by SPIFFE ID. The bundles of the
// federated issuers are trusted.
func StartSite(c *Case, workers []*Worker, tenants map[string]string, federated ...*Issuer) (*Site, error) {
	var targets []Target
	for _, worker := range workers {
		targets = append(targets, worker.Target(Active))
	}
	s := &Site{}
	var err error
	if s.board, err = NewBoard(c.Record, NewLog(targets...), 0); err != nil {
		return nil, err
	}
	if s.Addr, err = FreeAddress(); err != nil {
		return nil, err
	}
	if s.Own, err = NewIssuer(TurnosDomain); err != nil {
		return nil, err
	}
	if s.Workload, err = NewWorkloadAPI(s.Own, federated...); err != nil {
		return nil, err
	}
	s.config = filepath.Join(c.Dir, "config.json")
	if err := NewConfig(s.Addr, s.board, Settings(TurnosClasses())).Write(s.config); err != nil {
		return nil, err
	}
	if s.InvokeFile, s.URL, err = WriteInvokeFile(c, s.Workload.Addr, tenants); err != nil {
		return nil, err
	}
	if err := s.Start(c); err != nil {
		return nil, err
	}
	return s, nil
}

// Start starts the dispatcher, at first or once more after its end, and waits until it is ready.
func (s *Site) Start(c *Case) error {
	var err error
	if s.Dispatcher, err = StartDispatcher(c, s.config, "-invoke", s.InvokeFile); err != nil {
		return err
	}
	if err := s.Dispatcher.AwaitReady(s.Addr, readyWithin); err != nil {
		s.Dispatcher.Kill()
		return err
	}
	return nil
}

// Close ends the dispatcher and its peers.
func (s *Site) Close() {
	s.Dispatcher.Kill()
	s.board.Close()
	s.Workload.Close()
}
