// Command dispatcher forwards calls from clients to workers that have the called function loaded, and answers each call
// exactly once. This package parses the command line and connects the other packages; package balancer alone decides
// where and when a call is forwarded.
//
// In its usage text and its error messages the program is called kitefall.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"kitefall/internal/invocation"
)

// Exit codes of the process. They must not change: scripts depend on them, and the usage text lists them.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitNotFound = 3 // the invocation does not exist or has expired
	exitRejected = 4 // the invocation's state does not allow the operation
	exitStorage  = 5 // the store is corrupt, locked by another process, or cannot be written
)

func main() {
	os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr))
}

// errUsage is wrapped by errors in the command line itself, such as an unknown flag.
var errUsage = errors.New("usage")

// execute runs the command that args name, or the service if args name none, and returns the exit code of the process.
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

// exitCode returns the process's exit code for err, which must not be nil.
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
