package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"kitefall/internal/control"
	"kitefall/internal/frontend/invoke"
	"kitefall/internal/invocation/store"
)

// ticketsCommand is what the commands about tickets share.
type ticketsCommand struct {
	invokeFile string
	json       bool
}

// open finds the tickets: a running dispatcher's by its control socket, else those of the file. With look, nothing is
// written to the file.
func (t *ticketsCommand) open(look bool) (control.Operations, func() error, error) {
	c, err := t.places()
	if err != nil {
		return nil, nil, err
	}
	if running, ok := control.Dial(c.Control); ok {
		return running, func() error { return nil }, nil
	}
	kept := c.StoreOptions()
	kept.Durable.LockDeadline = time.Now().Add(time.Second)
	return control.OpenFile(c.Store, kept, look)
}

func (t *ticketsCommand) places() (*invoke.Config, error) {
	if t.invokeFile == "" {
		return nil, fmt.Errorf("%w: --invoke names the operator's file that says where the store is", errUsage)
	}
	c, err := invoke.ReadUnchecked(t.invokeFile)
	if err == nil && c.Store == "" {
		err = fmt.Errorf("%s: no store", t.invokeFile)
	}
	return c, err
}

// with carries out a command on the tickets.
func (t *ticketsCommand) with(look bool, do func(c *cobra.Command, tickets control.Operations, args []string) error) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, args []string) error {
		tickets, done, err := t.open(look)
		if err != nil {
			return err
		}
		return errors.Join(do(c, tickets, args), done())
	}
}

// say writes v as JSON, or else what plain writes.
func (t *ticketsCommand) say(c *cobra.Command, v any, plain func(io.Writer)) error {
	if !t.json {
		plain(c.OutOrStdout())
		return nil
	}
	e := json.NewEncoder(c.OutOrStdout())
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func newTickets() *cobra.Command {
	t := &ticketsCommand{}
	group := &cobra.Command{Use: "tickets", Short: "See and mend the tickets of the invoke API",
		Long: `See and mend the tickets of the invoke API: by the control socket of a dispatcher that runs on the store, on the
file itself where none does.`}
	group.PersistentFlags().StringVar(&t.invokeFile, "invoke", "", "the operator's `file`, which says where the store is")
	group.PersistentFlags().BoolVar(&t.json, "json", false, "write JSON")
	group.AddCommand(t.list(), t.show(), t.redrive(), t.purge(), t.snapshot(), t.restore(), t.verify(), t.compact())
	return group
}

func stateOf(v control.Invocation) string {
	s := v.State
	if v.End != "" {
		s = v.End
	}
	if v.MayHaveRun {
		s += ", may have run"
	}
	if v.Dead {
		s += ", dead"
	}
	return s
}

func when(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.Local().Format(time.DateTime)
}

func (t *ticketsCommand) list() *cobra.Command {
	f := store.Filter{}
	c := &cobra.Command{Use: "list", Short: "List tickets", Args: usage(cobra.NoArgs),
		RunE: t.with(true, func(c *cobra.Command, tickets control.Operations, _ []string) error {
			found, err := tickets.List(f)
			if err != nil {
				return err
			}
			return t.say(c, found, func(w io.Writer) {
				tab := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
				fmt.Fprintln(tab, "TICKET\tTENANT\tFUNCTION\tSTATE\tRUNS\tCREATED\tEXPIRES")
				for _, v := range found {
					fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", v.ID, v.Tenant, v.Function, stateOf(v), v.Runs, when(v.Created), when(v.Expires))
				}
				tab.Flush()
			})
		})}
	c.Flags().StringVar(&f.Tenant, "tenant", "", "those of one tenant")
	c.Flags().BoolVar(&f.DeadLetters, "dead", false, "dead letters alone")
	c.Flags().BoolVar(&f.Incomplete, "open", false, "open ones alone")
	c.Flags().IntVar(&f.Limit, "most", 100, "so many at most; 0: all")
	c.MarkFlagsMutuallyExclusive("dead", "open")
	return c
}

func (t *ticketsCommand) tell(c *cobra.Command, v control.Invocation) error {
	return t.say(c, v, func(w io.Writer) {
		fmt.Fprintf(w, "ticket    %s of %s\nfunction  %s, %s\nstate     %s after %d runs\ncreated   %s\nexpires   %s\n", v.ID,
			v.Tenant, v.Function, v.Class, stateOf(v), v.Runs, when(v.Created), when(v.Expires))
		if v.Origin != "" {
			fmt.Fprintf(w, "origin    %s\n", v.Origin)
		}
		if v.Heir != "" {
			fmt.Fprintf(w, "heir      %s\n", v.Heir)
		}
		for _, l := range v.History {
			fmt.Fprintf(w, "  %s  run %d  %s  %s\n", l.At.Local().Format("2006-01-02 15:04:05.000"), l.Run, l.Event, l.Note)
		}
	})
}

func (t *ticketsCommand) show() *cobra.Command {
	return &cobra.Command{Use: "show TICKET", Short: "Show a ticket and its history", Args: usage(cobra.ExactArgs(1)),
		RunE: t.with(true, func(c *cobra.Command, tickets control.Operations, args []string) error {
			v, err := tickets.Show(args[0])
			if err != nil {
				return err
			}
			return t.tell(c, v)
		})}
}

func (t *ticketsCommand) redrive() *cobra.Command {
	var checked bool
	var reason string
	c := &cobra.Command{Use: "redrive TICKET", Short: "Have a dead letter go again, as a new ticket", Args: usage(cobra.ExactArgs(1)),
		Long: `Have a dead letter go again, as a new ticket with the same order. The letter's own answer stays.

One that may have run and must not run twice is refused, unless --checked says that it was found not to have run, and
--reason how.`,
		RunE: t.with(false, func(c *cobra.Command, tickets control.Operations, args []string) error {
			if checked && strings.TrimSpace(reason) == "" {
				return fmt.Errorf("%w: --checked needs a --reason", errUsage)
			}
			v, err := tickets.Redrive(args[0], checked, reason)
			if err != nil {
				return err
			}
			return t.tell(c, v)
		})}
	c.Flags().BoolVar(&checked, "checked", false, "it was checked that the call did not run")
	c.Flags().StringVar(&reason, "reason", "", "why; it goes into the letter's history")
	return c
}

func (t *ticketsCommand) purge() *cobra.Command {
	var all bool
	var older time.Duration
	c := &cobra.Command{Use: "purge [TICKET...]", Short: "Forget dead letters", Args: usage(cobra.ArbitraryArgs),
		RunE: t.with(false, func(c *cobra.Command, tickets control.Operations, args []string) error {
			if all == (len(args) > 0) {
				return fmt.Errorf("%w: name tickets, or say --all", errUsage)
			}
			n, err := tickets.Purge(args, time.Now().Add(-older))
			if err != nil {
				return err
			}
			return t.say(c, map[string]int{"purged": n}, func(w io.Writer) { fmt.Fprintf(w, "%d purged\n", n) })
		})}
	c.Flags().BoolVar(&all, "all", false, "all dead letters")
	c.Flags().DurationVar(&older, "older", 0, "only those that ended at least so long ago")
	return c
}

func (t *ticketsCommand) snapshot() *cobra.Command {
	return &cobra.Command{Use: "snapshot FILE", Short: "Write a copy of the store to a new file", Args: usage(cobra.ExactArgs(1)),
		RunE: t.with(false, func(c *cobra.Command, tickets control.Operations, args []string) error {
			to, err := filepath.Abs(args[0])
			if err != nil {
				return err
			}
			if err := tickets.Snapshot(to); err != nil {
				return err
			}
			return t.say(c, map[string]string{"snapshot": to}, func(w io.Writer) { fmt.Fprintf(w, "the copy is %s\n", to) })
		})}
}

func (t *ticketsCommand) restore() *cobra.Command {
	return &cobra.Command{Use: "restore FILE", Short: "Put a snapshot in the place of a store that is not there",
		Args: usage(cobra.ExactArgs(1)), RunE: func(c *cobra.Command, args []string) error {
			places, err := t.places()
			if err != nil {
				return err
			}
			if err := store.Restore(args[0], places.Store); err != nil {
				return err
			}
			return t.say(c, map[string]string{"store": places.Store}, func(w io.Writer) { fmt.Fprintf(w, "the store is %s\n", places.Store) })
		}}
}

func (t *ticketsCommand) verify() *cobra.Command {
	return &cobra.Command{Use: "verify", Short: "Read all that is kept and check it", Args: usage(cobra.NoArgs),
		RunE: t.with(false, func(c *cobra.Command, tickets control.Operations, _ []string) error {
			n, err := tickets.Verify()
			if err != nil {
				return err
			}
			return t.say(c, map[string]int{"tickets": n}, func(w io.Writer) { fmt.Fprintf(w, "%d tickets, all sound\n", n) })
		})}
}

func (t *ticketsCommand) compact() *cobra.Command {
	return &cobra.Command{Use: "compact", Short: "Write the store's file anew, without its gaps", Args: usage(cobra.NoArgs),
		RunE: t.with(false, func(c *cobra.Command, tickets control.Operations, _ []string) error {
			before, after, err := tickets.Compact()
			if err != nil {
				return err
			}
			return t.say(c, map[string]int64{"before": before, "after": after}, func(w io.Writer) {
				fmt.Fprintf(w, "%d bytes before, %d after\n", before, after)
			})
		})}
}
