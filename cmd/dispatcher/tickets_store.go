package main

import (
	"fmt"
	"io"
	"path/filepath"

	"github.com/spf13/cobra"

	"kitefall/internal/control"
	"kitefall/internal/invocation/store"
)

func (t *ticketsCommand) newSnapshotCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "snapshot FILE",
		Short: "Write a copy of the store to a new file",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: t.withInvocations(readWrite, func(c *cobra.Command, ops control.Operations, args []string) error {
			path, err := filepath.Abs(args[0])
			if err != nil {
				return err
			}
			if err := ops.Snapshot(path); err != nil {
				return err
			}
			return t.print(c, snapshotResult{path}, func(w io.Writer) { fmt.Fprintf(w, "the copy is %s\n", path) })
		}),
	}
}

func (t *ticketsCommand) newRestoreCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "restore FILE",
		Short: "Put a snapshot in the place of a store that is not there",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			conf, err := t.readInvokeFile()
			if err != nil {
				return err
			}
			if err := store.Restore(args[0], conf.Store); err != nil {
				return err
			}
			return t.print(c, restoreResult{conf.Store}, func(w io.Writer) { fmt.Fprintf(w, "the store is %s\n", conf.Store) })
		},
	}
}

func (t *ticketsCommand) newVerifyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "verify",
		Short: "Read all that is kept and check it",
		Args:  usageArgs(cobra.NoArgs),
		RunE: t.withInvocations(readWrite, func(c *cobra.Command, ops control.Operations, _ []string) error {
			count, err := ops.Verify()
			if err != nil {
				return err
			}
			return t.print(c, verifyResult{count}, func(w io.Writer) { fmt.Fprintf(w, "%d tickets, all sound\n", count) })
		}),
	}
}

func (t *ticketsCommand) newCompactCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "compact",
		Short: "Write the store's file anew, without its gaps",
		Args:  usageArgs(cobra.NoArgs),
		RunE: t.withInvocations(readWrite, func(c *cobra.Command, ops control.Operations, _ []string) error {
			before, after, err := ops.Compact()
			if err != nil {
				return err
			}
			return t.print(c, compactResult{After: after, Before: before}, func(w io.Writer) {
				fmt.Fprintf(w, "%d bytes before, %d after\n", before, after)
			})
		}),
	}
}
