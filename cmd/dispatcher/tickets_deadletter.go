package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"kitefall/internal/control"
)

// errReasonMissing rejects a redrive with --checked but without a --reason, which says how the operator checked.
var errReasonMissing = fmt.Errorf("%w: --checked needs a --reason", errUsage)

func (t *ticketsCommand) newRedriveCommand() *cobra.Command {
	var confirmed bool
	var reason string
	c := &cobra.Command{
		Use:   "redrive TICKET",
		Short: "Have a dead letter go again, as a new ticket",
		Long: `Have a dead letter go again, as a new ticket with the same order. The letter's own answer stays.

One that may have run and must not run twice is refused, unless --checked says that it was found not to have run, and
--reason how.`,
		Args: usageArgs(cobra.ExactArgs(1)),
		RunE: t.withInvocations(readWrite, func(c *cobra.Command, ops control.Operations, args []string) error {
			if confirmed && strings.TrimSpace(reason) == "" {
				return errReasonMissing
			}
			created, err := ops.Redrive(args[0], confirmed, reason)
			if err != nil {
				return err
			}
			return t.printInvocation(c, created)
		}),
	}
	c.Flags().BoolVar(&confirmed, "checked", false, "it was checked that the call did not run")
	c.Flags().StringVar(&reason, "reason", "", "why; it goes into the letter's history")
	return c
}

func (t *ticketsCommand) newPurgeCommand() *cobra.Command {
	var all bool
	var minAge time.Duration
	c := &cobra.Command{
		Use:   "purge [TICKET...]",
		Short: "Forget dead letters",
		Args:  usageArgs(cobra.ArbitraryArgs),
		RunE: t.withInvocations(readWrite, func(c *cobra.Command, ops control.Operations, args []string) error {
			idsGiven := len(args) > 0
			if all == idsGiven {
				return fmt.Errorf("%w: name tickets, or say --all", errUsage)
			}
			purged, err := ops.Purge(args, minAge)
			if err != nil {
				return err
			}
			return t.print(c, purgeResult{purged}, func(w io.Writer) { fmt.Fprintf(w, "%d purged\n", purged) })
		}),
	}
	c.Flags().BoolVar(&all, "all", false, "all dead letters")
	c.Flags().DurationVar(&minAge, "older", 0, "only those that ended at least so long ago")
	return c
}
