package standin

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestPlay is the time after which a case gives up. A script may run for 120 s.
const longestPlay = 110 * time.Second

// Case is one play of a case.
type Case struct {
	Folder  string // temporary folder, removed at the end
	Trouble bool   // the disruption is played
	Record  *Record
	Program *Program
}

// Main plays a case and ends the process: with 1 if play returned what was broken, with 0 if it returned nothing, and with 2
// if the case could not run. The first argument of the process is the folder of the case, which is two levels below the root
// of the repository and receives record.txt. With TROUBLE=0 in the environment, Case.Trouble is false.
func Main(play func(*Case) (broken []string, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER-OF-THE-CASE")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], play))
}

func run(folder string, play func(*Case) ([]string, error)) int {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return notRun(err)
	}
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return notRun(err)
	}
	defer record.Close()
	temporary, err := os.MkdirTemp("", "kitefall-review")
	if err != nil {
		return notRun(err)
	}
	defer os.RemoveAll(temporary)
	program, err := NewProgram(filepath.Dir(filepath.Dir(folder)), temporary, record)
	if err != nil {
		return notRun(err)
	}
	defer program.StopAll()
	c := &Case{Folder: temporary, Trouble: os.Getenv("TROUBLE") != "0", Record: record, Program: program}
	record.Add("the disruption is played: %v", c.Trouble)
	return c.verdict(play)
}

// verdict plays the case and returns the exit code.
func (c *Case) verdict(play func(*Case) ([]string, error)) int {
	type outcome struct {
		broken []string
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := play(c)
		ended <- outcome{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case got := <-interrupted:
		return notRun(fmt.Errorf("interrupted by %v", got))
	case o := <-ended:
		if o.err != nil {
			c.Record.Add("the case could not run: %v", o.err)
			return notRun(o.err)
		}
		for _, line := range o.broken {
			c.Record.Add("BROKEN: %s", line)
			fmt.Println("broken:", line)
		}
		if len(o.broken) > 0 {
			return exitBroken
		}
		c.Record.Add("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	case <-time.After(longestPlay):
		c.Record.Add("the case could not run: it took too long")
		return notRun(fmt.Errorf("not done after %v", longestPlay))
	}
}

func notRun(err error) int {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return exitNotRun
}
