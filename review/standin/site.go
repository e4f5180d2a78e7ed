package standin

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// readyLimit is how long a dispatcher may take until it is ready (source: fleet page).
const readyLimit = 30 * time.Second

// Site is a small deployment: a notice board, workers and the files of one dispatcher.
type Site struct {
	*Case
	Workers   []*Worker
	Board     *Board
	Listen    string // where the dispatcher listens for clients
	Config    string // path of the configuration
	Authority *Authority
	Invoke    string // path of the operator's file of the invoke API; empty: the API is off
	InvokeAPI string // address of the invoke API
}

// NewSite starts the workers and the notice board, and writes the configuration of a dispatcher.
func (c *Case) NewSite(settings any, zone, model string, workers ...*Worker) (*Site, error) {
	s := &Site{Case: c, Workers: workers}
	var targets []Target
	for _, w := range workers {
		if err := w.Listen(); err != nil {
			return nil, err
		}
		targets = append(targets, w.Target(zone, model))
	}
	list := WholeList(targets)
	var err error
	if s.Board, err = NewBoard(list); err != nil {
		return nil, err
	}
	if s.Listen, err = FreeAddress(); err != nil {
		return nil, err
	}
	s.Config, err = WriteConfig(c.Folder, "n0", s.Listen, s.Board.Addr, list, settings)
	return s, err
}

// NewTurnosSite returns a site of turnos-central with workers of one room and the invoke API. The operator's file is
// deploy/invoke.toml with the addresses and the store of this site; tenantTickets replaces the limit of tickets of one
// tenant, unless it is 0.
func (c *Case) NewTurnosSite(tenantTickets int, workers ...*Worker) (*Site, error) {
	s, err := c.NewSite(TurnosSettings(), "sala-norte", "std-3c", workers...)
	if err != nil {
		return nil, err
	}
	if s.Authority, err = NewAuthority(); err != nil {
		return nil, err
	}
	if s.InvokeAPI, err = FreeAddress(); err != nil {
		return nil, err
	}
	s.Invoke = filepath.Join(s.Folder, "invoke.toml")
	return s, s.writeInvoke(tenantTickets)
}

// writeInvoke writes the operator's file.
func (s *Site) writeInvoke(tenantTickets int) error {
	text, err := os.ReadFile(filepath.Join(s.Program.Root, "deploy", "invoke.toml"))
	if err != nil {
		return err
	}
	values := map[string]string{
		"listen":       strconv.Quote(s.InvokeAPI),
		"workload_api": strconv.Quote(s.Authority.Addr),
		"store":        strconv.Quote(filepath.Join(s.Folder, "tickets.db")),
	}
	if tenantTickets > 0 {
		values["tenant_tickets"] = strconv.Itoa(tenantTickets)
	}
	for key, value := range values {
		line := regexp.MustCompile("(?m)^" + key + " = .*$")
		if !line.Match(text) {
			return fmt.Errorf("deploy/invoke.toml has no %s", key)
		}
		text = line.ReplaceAllLiteral(text, []byte(key+" = "+value))
	}
	return os.WriteFile(s.Invoke, text, 0o600)
}

// NewTurnosWorker returns a worker with the figures of the operator's file. It does not listen yet.
func (c *Case) NewTurnosWorker(uid string) *Worker {
	return &Worker{UID: uid, Pod: &Pod{Group: 1}, Work: 110 * time.Millisecond, LoadTime: 640 * time.Millisecond, Record: c.Record}
}

// Start starts a dispatcher and waits until it is ready. The dispatcher has an operators' address of its own.
func (s *Site) Start(name string) (*Process, error) {
	process, err := s.Launch(name)
	if err != nil {
		return nil, err
	}
	return process, process.WaitReady(readyLimit)
}

// Launch starts a dispatcher and does not wait until it is ready. The dispatcher has an operators' address of its own.
func (s *Site) Launch(name string) (*Process, error) {
	admin, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	var arguments []string
	if s.Invoke != "" {
		arguments = []string{"-invoke", s.Invoke}
	}
	return s.Program.Start(name, s.Config, admin, nil, arguments...)
}

// Tickets starts the operators' command tickets with arguments. Its standard output goes to stdout, if that is set.
func (s *Site) Tickets(name string, stdout io.Writer, arguments ...string) (*Process, error) {
	return s.Program.Start(name, "", "", stdout, append([]string{"tickets", "--invoke", s.Invoke}, arguments...)...)
}

// NewDevice returns a device of the tenant DeskTenant.
func (s *Site) NewDevice(name string) (*Device, error) {
	return s.Authority.NewDevice(name, s.InvokeAPI, s.Record)
}

// Functions of the operator's file, and their names at the workers.
const (
	ReservaPath  = "/v1/functions/confirm-appointment/invocations"
	ConsultaPath = "/v1/functions/free-slots/invocations"
)

// RunsByBody returns how often the calls of a class have run at the workers, by their body.
func (s *Site) RunsByBody(class string) map[string]int {
	count := map[string]int{}
	for _, worker := range s.Workers {
		for _, run := range worker.Runs() {
			if run.Class == class {
				count[run.Body]++
			}
		}
	}
	return count
}

// LastLine returns the last line that a process has written.
func (s *Site) LastLine(process string) string {
	text, _ := os.ReadFile(filepath.Join(s.Folder, process+".log"))
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}
