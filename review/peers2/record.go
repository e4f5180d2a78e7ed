// Package peers2 holds the stand-ins of the second review: a worker, a notice board, clients of both frontends and an
// issuer of SPIFFE identities. They follow the protocol pages and listen on loopback addresses only. A case starts the
// dispatcher itself as a separate process, by the command of the deploy file.
package peers2

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0 // the rule held
	ExitBroken = 1 // the rule was broken
	ExitNotRun = 2 // the case could not run
)

// Record writes what happened in a case to a file, one line for each event with the time since the start of the case. It is
// safe for concurrent use.
type Record struct {
	start time.Time

	mu  sync.Mutex
	out io.Writer
}

// NewRecord returns a record that is written to path and to standard output.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), out: io.MultiWriter(file, os.Stdout)}, nil
}

// Since returns the time since the start of the case.
func (r *Record) Since() time.Duration { return time.Since(r.start) }

// Logf appends a line.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Case is what a case gets to run with.
type Case struct {
	*Record
	Trouble bool   // the disruption takes place; false with TROUBLE=0
	Dir     string // a temporary folder, removed at the end
}

// Main runs a case and exits with its code. run returns whether the rule held. An error means that the case could not run. The
// record is written to record.txt in the folder that the first argument names.
func Main(run func(c *Case) (held bool, err error)) {
	code, err := runCase(run)
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
	}
	os.Exit(code)
}

func runCase(run func(c *Case) (held bool, err error)) (code int, err error) {
	if len(os.Args) != 2 {
		return ExitNotRun, errors.New("the argument is the folder of the case")
	}
	record, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		return ExitNotRun, err
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return ExitNotRun, err
	}
	defer os.RemoveAll(dir)
	c := &Case{Record: record, Trouble: os.Getenv("TROUBLE") != "0", Dir: dir}
	c.Logf("begin, trouble: %v", c.Trouble)
	held, err := run(c)
	defer c.addDispatcherLog()
	switch {
	case err != nil:
		c.Logf("not run: %v", err)
		return ExitNotRun, err
	case held:
		c.Logf("the rule held")
		return ExitHeld, nil
	default:
		c.Logf("the rule was broken")
		return ExitBroken, nil
	}
}

// logPath returns the path of the log of the dispatchers that the case starts.
func (c *Case) logPath() string { return filepath.Join(c.Dir, "dispatcher.log") }

// addDispatcherLog appends the log of the dispatchers to the record.
func (c *Case) addDispatcherLog() {
	text, err := os.ReadFile(c.logPath())
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.out, "the dispatcher's log:\n%s", text)
}
