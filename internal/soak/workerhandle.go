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

type workerHandle struct {
	uid    string
	zone   string
	number int
	fleet  *Fleet

	mu  sync.Mutex
	cmd *exec.Cmd // nil while there is no process
}

func (w *workerHandle) addr(dispatcher int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.fleet.net, 10+w.number, dispatcher+1, dispatcherPort)
}

func (w *workerHandle) start() error {
	config := w.fleet.config.Worker
	config.UID = w.uid
	config.Seed = w.fleet.config.Seed*1000 + uint64(w.number)
	config.Record = w.recordPath()
	config.Addrs = nil
	for dispatcher := range w.fleet.config.Dispatchers {
		config.Addrs = append(config.Addrs, w.addr(dispatcher))
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cmd = exec.Command(program)
	w.cmd.Env = append(os.Environ(), workerEnv+"="+string(text))
	w.cmd.Stderr = os.Stderr
	if err := w.cmd.Start(); err != nil {
		return err
	}
	for begin := Now(); Now()-begin < readyTimeout; time.Sleep(5 * time.Millisecond) {
		if dialable(config.Addrs[len(config.Addrs)-1]) {
			return nil
		}
	}
	return fmt.Errorf("soak: worker %s does not listen", w.uid)
}

func (w *workerHandle) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cmd != nil {
		w.cmd.Process.Kill()
		w.cmd.Wait()
		w.cmd = nil
	}
}

func (w *workerHandle) signal(s syscall.Signal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cmd != nil {
		w.cmd.Process.Signal(s)
	}
}

func (w *workerHandle) recordPath() string {
	return filepath.Join(w.fleet.config.Folder, "worker-"+w.uid+".json")
}
