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

// cliLockTimeout is how long a command waits for the lock of the store's file, from when it starts to open the store.
const cliLockTimeout = time.Second

// defaultListLimit is the maximum number of invocations that the list command shows by default.
const defaultListLimit = 100

// ticketsCommand holds the flags that all commands on invocations share. On the command line an invocation is called a
// ticket.
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

// storeAccess is how a command opens the store's file when no dispatcher is running on the store.
type storeAccess bool

const (
	readOnly  storeAccess = true // the file is not written to
	readWrite storeAccess = false
)

// operation is the body of a command on invocations. Its ops reach them over the control socket or in the store's file.
type operation func(c *cobra.Command, ops control.Operations, args []string) error

// withInvocations returns a RunE function for a command. It opens the invocations, runs the operation and closes them.
func (t *ticketsCommand) withInvocations(access storeAccess, run operation) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, args []string) error {
		ops, closeStore, err := t.open(access)
		if err != nil {
			return err
		}
		return errors.Join(run(c, ops, args), closeStore())
	}
}

// open returns the operations of a running dispatcher, if one accepts connections on the control socket, and otherwise
// operations on the store's file. The caller must call the returned function to close the store.
func (t *ticketsCommand) open(access storeAccess) (control.Operations, func() error, error) {
	conf, err := t.readInvokeFile()
	if err != nil {
		return nil, nil, err
	}
	if ops, ok := control.Dial(conf.Control); ok {
		return ops, func() error { return nil }, nil
	}
	options := conf.StoreOptions()
	options.Durable.LockDeadline = time.Now().Add(cliLockTimeout)
	return control.OpenFile(conf.Store, options, access == readOnly)
}

// readInvokeFile reads the operator's file, which has to name a store. The other settings in the file are not validated.
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
		RunE: t.withInvocations(readOnly, func(c *cobra.Command, ops control.Operations, _ []string) error {
			invocations, err := ops.List(filter)
			if err != nil {
				return err
			}
			return t.print(c, invocations, func(w io.Writer) { printTable(w, invocations) })
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
		RunE: t.withInvocations(readOnly, func(c *cobra.Command, ops control.Operations, args []string) error {
			invocation, err := ops.Show(args[0])
			if err != nil {
				return err
			}
			return t.printInvocation(c, invocation)
		}),
	}
}
