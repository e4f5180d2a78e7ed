package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"kitefall/internal/control"
	"kitefall/internal/frontend/invoke"
	"kitefall/internal/invocation/store"
)

// cliLockTimeout is how long a command waits for the lock of the store's file.
const cliLockTimeout = time.Second

// defaultListLimit is how many invocations the list command shows by default.
const defaultListLimit = 100

// ticketsCommand is what the commands on invocations share: their flags. The command line calls invocations tickets.
type ticketsCommand struct {
	invokeFile string
	json       bool
}

func newTicketsCommand() *cobra.Command {
	t := &ticketsCommand{}
	group := &cobra.Command{
		Use:   "tickets",
		Short: "See and mend the tickets of the invoke API",
		Long: `See and mend the tickets of the invoke API: by the control socket of a dispatcher that runs on the store, on the
file itself where none does.`,
	}
	group.PersistentFlags().StringVar(&t.invokeFile, "invoke", "", "the operator's `file`, which says where the store is")
	group.PersistentFlags().BoolVar(&t.json, "json", false, "write JSON")
	group.AddCommand(
		t.newListCommand(), t.newShowCommand(), t.newRedriveCommand(), t.newPurgeCommand(),
		t.newSnapshotCommand(), t.newRestoreCommand(), t.newVerifyCommand(), t.newCompactCommand(),
	)
	return group
}

// storeAccess says how a command opens a store that no dispatcher has open.
type storeAccess bool

const (
	readOnly  storeAccess = true // nothing is written to the file
	readWrite storeAccess = false
)

// operation is the body of a command that works on invocations.
type operation func(c *cobra.Command, invocations control.Operations, args []string) error

// withInvocations returns a command's body that opens the invocations, runs the operation and closes them.
func (t *ticketsCommand) withInvocations(access storeAccess, run operation) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, args []string) error {
		invocations, closeStore, err := t.open(access)
		if err != nil {
			return err
		}
		return errors.Join(run(c, invocations, args), closeStore())
	}
}

// open returns the operations of a running dispatcher if one answers on the control socket, else those on the store's
// file. The caller must call the returned function in the end.
func (t *ticketsCommand) open(access storeAccess) (control.Operations, func() error, error) {
	conf, err := t.readInvokeFile()
	if err != nil {
		return nil, nil, err
	}
	if running, ok := control.Dial(conf.Control); ok {
		return running, func() error { return nil }, nil
	}
	options := conf.StoreOptions()
	options.Durable.LockDeadline = time.Now().Add(cliLockTimeout)
	return control.OpenFile(conf.Store, options, access == readOnly)
}

// readInvokeFile reads the operator's file, which has to name a store. The rest of the file need not be valid.
func (t *ticketsCommand) readInvokeFile() (*invoke.Config, error) {
	if t.invokeFile == "" {
		return nil, fmt.Errorf("%w: --invoke names the operator's file that says where the store is", errUsage)
	}
	conf, err := invoke.ReadUnchecked(t.invokeFile)
	if err == nil && conf.Store == "" {
		err = fmt.Errorf("%s: no store", t.invokeFile)
	}
	return conf, err
}

func (t *ticketsCommand) newListCommand() *cobra.Command {
	filter := store.Filter{}
	c := &cobra.Command{
		Use:   "list",
		Short: "List tickets",
		Args:  usageArgs(cobra.NoArgs),
		RunE: t.withInvocations(readOnly, func(c *cobra.Command, invocations control.Operations, _ []string) error {
			found, err := invocations.List(filter)
			if err != nil {
				return err
			}
			return t.print(c, found, func(w io.Writer) { printTable(w, found) })
		}),
	}
	c.Flags().StringVar(&filter.Tenant, "tenant", "", "those of one tenant")
	c.Flags().BoolVar(&filter.DeadLetters, "dead", false, "dead letters alone")
	c.Flags().BoolVar(&filter.Incomplete, "open", false, "open ones alone")
	c.Flags().IntVar(&filter.Limit, "most", defaultListLimit, "so many at most; 0: all")
	c.MarkFlagsMutuallyExclusive("dead", "open")
	return c
}

func (t *ticketsCommand) newShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show TICKET",
		Short: "Show a ticket and its history",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: t.withInvocations(readOnly, func(c *cobra.Command, invocations control.Operations, args []string) error {
			found, err := invocations.Show(args[0])
			if err != nil {
				return err
			}
			return t.printInvocation(c, found)
		}),
	}
}
