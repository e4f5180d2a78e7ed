package standin

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// pollInterval is the pause between two looks at something that the case waits for.
const pollInterval = 20 * time.Millisecond

// Program starts the project's programs with the command run of the deploy file.
type Program struct {
	Root   string // root of the repository
	Folder string // temporary folder of the case
	Record *Record

	run string

	mu        sync.Mutex
	processes []*Process
	stopped   bool // StopAll was called: nothing is started any more
}

var runLine = regexp.MustCompile(`(?m)^run\s*=\s*"(.*?)"`)

// NewProgram reads the deploy file of the repository at root.
func NewProgram(root, folder string, record *Record) (*Program, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	match := runLine.FindSubmatch(text)
	if match == nil {
		return nil, errors.New("deploy/balancer.toml has no run")
	}
	if _, err := os.Stat(filepath.Join(root, "bin", "dispatcher")); err != nil {
		return nil, fmt.Errorf("the project is not built: %w", err)
	}
	return &Program{Root: root, Folder: folder, Record: record, run: string(match[1])}, nil
}

// Process is a process of the project that the case has started.
type Process struct {
	Name   string
	admin  string // operators' address; empty: none
	record *Record
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has ended
}

// Start starts a process with the run command of the deploy file, followed by arguments, from the root of the repository.
// Its output goes to a file in the case's folder; its standard output goes to stdout instead, if that is set. The
// configuration and the operators' address may be empty.
func (p *Program) Start(name, configuration, admin string, stdout io.Writer, arguments ...string) (*Process, error) {
	command := p.run
	for _, argument := range arguments {
		command += " '" + argument + "'"
	}
	logFile, err := os.OpenFile(filepath.Join(p.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	private, err := os.MkdirTemp(p.Folder, "tmp")
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = p.Root
	cmd.Env = append(cleanEnvironment(), "RELAY_NAME="+name, "RELAY_CONFIG="+configuration, "TMPDIR="+private)
	if admin != "" {
		cmd.Env = append(cmd.Env, "RELAY_ADMIN="+admin)
	}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if stdout != nil {
		cmd.Stdout = stdout
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil, errStopped
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	process := &Process{Name: name, admin: admin, record: p.Record, cmd: cmd, exited: make(chan struct{})}
	p.Record.Add("process %s started: %s", name, strings.Join(arguments, " "))
	go func() {
		cmd.Wait()
		p.Record.Add("process %s ended: %s", name, cmd.ProcessState)
		close(process.exited)
	}()
	p.processes = append(p.processes, process)
	return process, nil
}

var errStopped = errors.New("the case has ended")

// cleanEnvironment returns the environment without the variables of the platform.
func cleanEnvironment() []string {
	var kept []string
	for _, variable := range os.Environ() {
		if !strings.HasPrefix(variable, "RELAY_") {
			kept = append(kept, variable)
		}
	}
	return kept
}

// StopAll kills all processes that are still running and waits until they have ended. Nothing can be started afterwards.
func (p *Program) StopAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	for _, process := range p.processes {
		if process.Running() {
			process.cmd.Process.Kill()
			<-process.exited
		}
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	p.record.Add("signal %v to process %s", signal, p.Name)
	p.cmd.Process.Signal(signal)
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// WaitExit waits until the process has ended, for at most the limit, and reports whether it has.
func (p *Process) WaitExit(limit time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// ExitCode returns the exit code of a process that has ended; -1 if a signal ended it.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// WaitReady waits until the dispatcher's operators' address answers that it is ready. It fails when the process ends or
// after the limit.
func (p *Process) WaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if !p.Running() {
			return fmt.Errorf("%s ended before it was ready", p.Name)
		}
		if p.Operate(http.MethodGet, "/api/ready") == http.StatusOK {
			p.record.Add("process %s is ready", p.Name)
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("%s was not ready after %v", p.Name, limit)
}

// operators is the HTTP client of the operators: one call a connection.
var operators = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Operate makes a call to the dispatcher's operators' address and returns the status of the answer; 0: there was none.
func (p *Process) Operate(method, path string) int {
	request, err := http.NewRequest(method, "http://"+p.admin+path, nil)
	if err != nil {
		return 0
	}
	response, err := operators.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// FreeAddress returns a loopback address that is free now. Each address has an IP address of its own, so that no connection of
// another party takes its port before it is listened at.
func FreeAddress() (string, error) {
	ip := net.IPv4(127, byte(1+rand.IntN(250)), byte(rand.IntN(256)), byte(1+rand.IntN(250)))
	listener, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
