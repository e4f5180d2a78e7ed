package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// acceptAfterGrace is how long after the grace a draining worker still accepts calls, as measured on the platform's bench.
const acceptAfterGrace = 500 * time.Millisecond

// membersPerSubnet is how many workers have addresses with the same third octet.
const membersPerSubnet = 250

// firstMemberSubnet is the third octet of the first worker's address.
const firstMemberSubnet = 10

// member is a worker of the endpoint list. One process may run several of them.
type member struct {
	uid    string
	zone   string
	number int // determines the addresses
	fleet  *Fleet
}

// addr returns the address at which a dispatcher reaches the worker.
func (m *member) addr(dispatcher int) string {
	subnet, host := firstMemberSubnet+m.number/membersPerSubnet, 1+m.number%membersPerSubnet
	return fmt.Sprintf("127.%d.%d.%d:%d", m.fleet.secondOctet, subnet, host, dispatcherPort+dispatcher)
}

// workerHandle starts, signals and kills a process that runs one or more workers.
type workerHandle struct {
	number  int
	fleet   *Fleet
	members []*member

	mu  sync.Mutex
	cmd *exec.Cmd // nil while the process does not run
}

// newWorkerHandle returns the handle of a worker process that is not started yet.
func newWorkerHandle(f *Fleet, number int) *workerHandle {
	w := &workerHandle{number: number, fleet: f}
	for i := range f.config.WorkersPerProcess {
		id := number*f.config.WorkersPerProcess + i
		w.members = append(w.members, &member{uid: fmt.Sprintf("s-%02d", id), zone: fmt.Sprintf("z%d", id%2), number: id,
			fleet: f})
	}
	return w
}

// copyAddresses gives the workers of this process, which is not started yet, the addresses of another process's workers, which
// will not be started again.
func (w *workerHandle) copyAddresses(other *workerHandle) {
	for i, m := range w.members {
		m.number = other.members[i].number
	}
}

// memberConfigs returns the configurations of the process's workers.
func (w *workerHandle) memberConfigs() []MemberConfig {
	var configs []MemberConfig
	for _, m := range w.members {
		config := MemberConfig{UID: m.uid}
		for dispatcher := range w.fleet.config.Dispatchers {
			config.Addrs = append(config.Addrs, m.addr(dispatcher))
		}
		configs = append(configs, config)
	}
	return configs
}

// start writes the configuration of the process, starts it, and waits until it listens at the last of its addresses.
func (w *workerHandle) start() error {
	config := w.fleet.config.Worker
	config.Members = w.memberConfigs()
	config.Seed = w.fleet.config.Seed*1000 + uint64(w.number)
	config.Record = w.recordPath()
	config.AcceptsFor = w.fleet.config.Rules.DrainGrace + acceptAfterGrace
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(w.configPath(), text, 0o600); err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cmd = exec.Command(program)
	w.cmd.Env = append(os.Environ(), workerEnv+"="+w.configPath())
	w.cmd.Stderr = os.Stderr
	if err := w.cmd.Start(); err != nil {
		return err
	}
	last := w.members[len(w.members)-1]
	for begin := Now(); Now()-begin < readyTimeout; time.Sleep(5 * time.Millisecond) {
		if dialable(last.addr(w.fleet.config.Dispatchers - 1)) {
			return nil
		}
	}
	return fmt.Errorf("soak: worker process %d does not accept connections", w.number)
}

// kill ends the process with SIGKILL, if it runs, and waits for its end.
func (w *workerHandle) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cmd != nil {
		w.cmd.Process.Kill()
		w.cmd.Wait()
		w.cmd = nil
	}
}

// signal sends a signal to the process, if it runs.
func (w *workerHandle) signal(s syscall.Signal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cmd != nil {
		w.cmd.Process.Signal(s)
	}
}

func (w *workerHandle) recordPath() string {
	return filepath.Join(w.fleet.config.Folder, fmt.Sprintf("worker-%d.record", w.number))
}

func (w *workerHandle) configPath() string {
	return filepath.Join(w.fleet.config.Folder, fmt.Sprintf("worker-%d.json", w.number))
}
