// Command dispatcher forwards calls from clients to workers that have the called function loaded, and answers each call
// exactly once. It connects the packages of the program and owns its command line; all decisions about where and when
// a call is forwarded are made by package balancer.
//
// The program names itself kitefall in its usage and in its error messages.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"kitefall/internal/invocation"
)

// The exit codes. Scripts depend on them, and the usage text lists them: they must not change.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitNotFound = 3 // no such invocation
	exitRejected = 4 // the invocation's state does not allow the operation
	exitStorage  = 5 // the store is corrupt, locked by another process, or cannot be written
)

func main() {
	os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr))
}

// errUsage marks errors that are caused by the command line itself.
var errUsage = errors.New("usage")

// execute runs a command line and returns the exit code of the process. Without a command it serves.
func execute(args []string, stdout, stderr io.Writer) int {
	root := newRootCommand()
	root.SetArgs(expandLegacyFlags(args))
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(stderr, "kitefall: %v\n", err)
	return exitCode(err)
}

// exitCode returns the exit code that stands for err.
func exitCode(err error) int {
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, invocation.ErrNotFound),
		errors.Is(err, invocation.ErrExpired):
		return exitNotFound
	case errors.Is(err, invocation.ErrNotDeadLetter),
		errors.Is(err, invocation.ErrNotConfirmed),
		errors.Is(err, invocation.ErrSuperseded):
		return exitRejected
	case errors.Is(err, invocation.ErrStorage):
		return exitStorage
	default:
		return exitFailed
	}
}
