package main

import (
	"fmt"
	"io"
	"log"
	"log/slog"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"kitefall/internal/balancer"
	"kitefall/internal/config"
	"kitefall/internal/frontend/invoke"
)

// configEnv is the environment variable that holds the path of the dispatcher's configuration file.
const configEnv = "RELAY_CONFIG"

// legacyInvokeFlag is an older spelling of --invoke, with a single dash. Deployments still use it.
const legacyInvokeFlag = "-invoke"

// expandLegacyFlags returns a copy of args in which each legacyInvokeFlag has two dashes. It does not change "-invoke=",
// which has an empty value and is then rejected as a usage error.
func expandLegacyFlags(args []string) []string {
	expanded := append([]string{}, args...)
	for i, arg := range expanded {
		value, hasValue := strings.CutPrefix(arg, legacyInvokeFlag+"=")
		if arg == legacyInvokeFlag || hasValue && value != "" {
			expanded[i] = "-" + arg
		}
	}
	return expanded
}

func newRootCommand() *cobra.Command {
	var invokeFile, logFormat string
	serve := func(c *cobra.Command, _ []string) error {
		if err := configureLog(c.ErrOrStderr(), logFormat); err != nil {
			return err
		}
		return run(os.Getenv(configEnv), invokeFile)
	}
	root := &cobra.Command{
		Use:   "kitefall",
		Short: "A dispatcher for calls of functions that run only where they are loaded",
		Long: `A dispatcher for calls of functions that run only where they are loaded.

Without a command it serves, as the platform starts it: RELAY_CONFIG names its configuration.
Exit codes: 0 done, 1 failed, 2 usage, 3 no such ticket, 4 the ticket does not take it, 5 the store does not work.`,
		Args:          usageArgs(cobra.NoArgs),
		RunE:          serve,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errUsage, err) })
	serveCommand := &cobra.Command{
		Use:   "serve",
		Short: "Serve, as without a command",
		Args:  usageArgs(cobra.NoArgs),
		RunE:  serve,
	}
	for _, c := range []*cobra.Command{root, serveCommand} {
		c.Flags().StringVar(&invokeFile, "invoke", "", "turn the invoke front on, as this operator's `file` says")
		c.Flags().StringVar(&logFormat, "log", "text", "the log's `format`: text or json")
	}
	root.AddCommand(serveCommand, newConfigCommand(), newTicketsCommand())
	return root
}

// configureLog sets up the default logger, which writes one line per record to w, as text or as JSON. docs/ON-CALL.md
// documents the messages and their keys.
func configureLog(w io.Writer, format string) error {
	switch format {
	case "text": // each line has the time, the level, the message and key=value pairs
		log.SetOutput(w)
		log.SetFlags(log.Ltime | log.Lmicroseconds)
	case "json":
		slog.SetDefault(slog.New(slog.NewJSONHandler(w, nil)))
	default:
		return fmt.Errorf("%w: --log is text or json", errUsage)
	}
	return nil
}

// usageArgs wraps a check of positional arguments so that its errors are usage errors.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		return nil
	}
}

func newConfigCommand() *cobra.Command {
	group := &cobra.Command{Use: "config", Short: "Look at operators' files"}
	var relayConfigFile string
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check an operator's file, all of it, and say what it means",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			return checkInvokeFile(c.OutOrStdout(), args[0], relayConfigFile)
		},
	}
	check.Flags().StringVar(&relayConfigFile, "relay-config", os.Getenv(configEnv),
		"the dispatcher's configuration, for its classes and tenants")
	group.AddCommand(check)
	return group
}

// checkInvokeFile validates an operator's file and writes an explanation of its settings to w. The classes and tenants in
// the file are checked against the dispatcher's configuration, unless relayConfigFile is empty.
func checkInvokeFile(w io.Writer, invokeFile, relayConfigFile string) error {
	settingsKnown := relayConfigFile != ""
	settings := balancer.Settings{}
	if settingsKnown {
		dispatcherConfig, err := config.Read(relayConfigFile)
		if err != nil {
			return err
		}
		settings = dispatcherConfig.Settings
	}
	invokeConfig, err := invoke.CheckConfig(invokeFile, settings, settingsKnown)
	if err != nil {
		return err
	}
	fmt.Fprint(w, invokeConfig.Explain())
	if !settingsKnown {
		fmt.Fprintln(w, "classes and tenants were not checked: name the dispatcher's configuration with --relay-config")
	}
	return nil
}
