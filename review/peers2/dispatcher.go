package peers2

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
)

// ErrTimeout means that something did not happen within its time.
var ErrTimeout = errors.New("timeout")

// Dispatcher is a running dispatcher: a process of its own.
type Dispatcher struct {
	command *exec.Cmd
	ended   chan struct{} // closed once the process has ended
}

// StartDispatcher starts the dispatcher by the command "run" of the deploy file, with further arguments. Its log is added
// to the record at the end of the case.
func StartDispatcher(c *Case, configPath string, args ...string) (*Dispatcher, error) {
	var deploy struct {
		Run string `toml:"run"`
	}
	if _, err := toml.DecodeFile(filepath.Join("deploy", "balancer.toml"), &deploy); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(c.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command := exec.Command("/bin/sh", "-c", strings.Join(append([]string{deploy.Run}, args...), " "))
	command.Env = append(os.Environ(), "RELAY_CONFIG="+configPath)
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		return nil, err
	}
	d := &Dispatcher{command: command, ended: make(chan struct{})}
	go func() {
		err := command.Wait()
		c.Logf("dispatcher: the process has ended: %v", err)
		close(d.ended)
	}()
	return d, nil
}

// Signal sends a signal to the process. The deploy file's command replaces the shell by the program.
func (d *Dispatcher) Signal(signal syscall.Signal) error { return d.command.Process.Signal(signal) }

// Ended returns a channel that is closed once the process has ended.
func (d *Dispatcher) Ended() <-chan struct{} { return d.ended }

// Kill ends the process and waits for its end.
func (d *Dispatcher) Kill() {
	d.Signal(syscall.SIGKILL)
	<-d.ended
}

// AwaitReady waits until the dispatcher answers CHECK with yes.
func (d *Dispatcher) AwaitReady(addr string, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-d.ended:
			return errors.New("the dispatcher has ended before it was ready")
		default:
		}
		client, err := DialClient(addr)
		if err != nil {
			continue
		}
		answer, err := client.Check(time.Second)
		client.Close()
		if err == nil && answer == "yes" {
			return nil
		}
	}
	return fmt.Errorf("%w: the dispatcher is not ready", ErrTimeout)
}

// FreeAddress returns a loopback address that nothing listens at.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
