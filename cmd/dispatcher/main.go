// Kitefall is a dispatcher: it takes calls from clients, runs them on workers that have their handlers loaded,
// and answers each exactly once. It decides nothing itself: package rules does.
package main

import (
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"kitefall/internal/balancer"
	"kitefall/internal/config"
	"kitefall/internal/frontend/invoke"
	"kitefall/internal/invocation"
)

// The exit codes. They stay as they are: scripts look at them.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitUnknown = 3 // no such ticket
	exitRefused = 4 // the ticket does not take it
	exitStore   = 5 // the store is broken, held by another process, or cannot be written
)

func main() {
	os.Exit(command(os.Args[1:], os.Stdout, os.Stderr))
}

// errUsage marks what the words of a command line are at fault for.
var errUsage = errors.New("usage")

// command carries out a command line and returns its exit code. Without any words it is the dispatcher.
func command(args []string, out, errs io.Writer) int {
	root := newRoot()
	root.SetArgs(long(args))
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(errs, "kitefall: %v\n", err)
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, invocation.ErrNotFound), errors.Is(err, invocation.ErrExpired):
		return exitUnknown
	case errors.Is(err, invocation.ErrNotDeadLetter), errors.Is(err, invocation.ErrNotConfirmed), errors.Is(err, invocation.ErrSuperseded):
		return exitRefused
	case errors.Is(err, invocation.ErrStorage):
		return exitStore
	default:
		return exitFailed
	}
}

// long turns -invoke, as it was written at first, into --invoke.
func long(args []string) []string {
	out := append([]string{}, args...)
	for i, a := range out {
		if a == "-invoke" || len(a) > 8 && a[:8] == "-invoke=" {
			out[i] = "-" + a
		}
	}
	return out
}

func newRoot() *cobra.Command {
	var invokeFile, format string
	serve := func(c *cobra.Command, _ []string) error {
		if err := logTo(c.ErrOrStderr(), format); err != nil {
			return err
		}
		return run(os.Getenv("RELAY_CONFIG"), invokeFile)
	}
	root := &cobra.Command{Use: "kitefall", Short: "A dispatcher for calls of functions that run only where they are loaded",
		Long: `A dispatcher for calls of functions that run only where they are loaded.

Without a command it serves, as the platform starts it: RELAY_CONFIG names its configuration.
Exit codes: 0 done, 1 failed, 2 usage, 3 no such ticket, 4 the ticket does not take it, 5 the store does not work.`,
		Args: cobra.NoArgs, RunE: serve, SilenceUsage: true, SilenceErrors: true}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errUsage, err) })
	again := &cobra.Command{Use: "serve", Short: "Serve, as without a command", Args: usage(cobra.NoArgs), RunE: serve}
	for _, c := range []*cobra.Command{root, again} {
		c.Flags().StringVar(&invokeFile, "invoke", "", "turn the invoke front on, as this operator's `file` says")
		c.Flags().StringVar(&format, "log", "text", "the log's `format`: text or json")
	}
	root.Args = usage(cobra.NoArgs)
	root.AddCommand(again, newConfig(), newTickets())
	return root
}

// logTo sets the log up: one line each, as text or as JSON, with the keys that docs/ON-CALL.md names.
func logTo(w io.Writer, format string) error {
	switch format {
	case "text": // time, level, message, then key=value
		log.SetOutput(w)
		log.SetFlags(log.Ltime | log.Lmicroseconds)
	case "json":
		slog.SetDefault(slog.New(slog.NewJSONHandler(w, nil)))
	default:
		return fmt.Errorf("%w: --log is text or json", errUsage)
	}
	return nil
}

// usage marks wrong arguments as errors of usage.
func usage(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		return nil
	}
}

func newConfig() *cobra.Command {
	group := &cobra.Command{Use: "config", Short: "Look at operators' files"}
	var relay string
	check := &cobra.Command{Use: "check FILE", Short: "Check an operator's file, all of it, and say what it means",
		Args: usage(cobra.ExactArgs(1)), RunE: func(c *cobra.Command, args []string) error {
			settings := balancer.Settings{}
			if relay != "" {
				conf, err := config.Read(relay)
				if err != nil {
					return err
				}
				settings = conf.Settings
			}
			conf, err := invoke.CheckConfig(args[0], settings, relay != "")
			if err != nil {
				return err
			}
			fmt.Fprint(c.OutOrStdout(), conf.Explain())
			if relay == "" {
				fmt.Fprintln(c.OutOrStdout(), "classes and tenants were not checked: name the dispatcher's configuration with --relay-config")
			}
			return nil
		}}
	check.Flags().StringVar(&relay, "relay-config", os.Getenv("RELAY_CONFIG"), "the dispatcher's configuration, for its classes and tenants")
	group.AddCommand(check)
	return group
}
