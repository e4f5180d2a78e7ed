package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"kitefall/internal/control"
)

// historyTimeFormat is the layout of times in an invocation's history. They are printed in local time.
const historyTimeFormat = "2006-01-02 15:04:05.000"

// Results that commands print with --json and that no other package defines. Their JSON form is part of the command-line
// interface.
type (
	purgeResult struct {
		Purged int `json:"purged"`
	}
	snapshotResult struct {
		Path string `json:"snapshot"`
	}
	restoreResult struct {
		Path string `json:"store"`
	}
	verifyResult struct {
		Invocations int `json:"tickets"`
	}
	compactResult struct {
		After  int64 `json:"after"`  // size of the store's file in bytes
		Before int64 `json:"before"` // size of the store's file in bytes
	}
)

// print writes the result as JSON if the flag --json is set, and otherwise calls printText.
func (t *ticketsCommand) print(c *cobra.Command, result any, printText func(io.Writer)) error {
	if !t.json {
		printText(c.OutOrStdout())
		return nil
	}
	encoder := json.NewEncoder(c.OutOrStdout())
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}

func (t *ticketsCommand) printInvocation(c *cobra.Command, v control.Invocation) error {
	return t.print(c, v, func(w io.Writer) { printDetails(w, v) })
}

// printTable writes a header and one line for each invocation.
func printTable(w io.Writer, invocations []control.Invocation) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "TICKET\tTENANT\tFUNCTION\tSTATE\tRUNS\tCREATED\tEXPIRES")
	for _, v := range invocations {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", v.ID, v.Tenant, v.Function, formatState(v), v.Runs,
			formatTime(v.CreatedAt), formatTime(v.Expires))
	}
	table.Flush()
}

// printDetails writes the properties of an invocation, one per line, and then its history.
func printDetails(w io.Writer, v control.Invocation) {
	fmt.Fprintf(w, "ticket    %s of %s\n", v.ID, v.Tenant)
	fmt.Fprintf(w, "function  %s, %s\n", v.Function, v.Class)
	fmt.Fprintf(w, "state     %s after %d runs\n", formatState(v), v.Runs)
	fmt.Fprintf(w, "created   %s\n", formatTime(v.CreatedAt))
	fmt.Fprintf(w, "expires   %s\n", formatTime(v.Expires))
	if v.RedriveOf != "" {
		fmt.Fprintf(w, "origin    %s\n", v.RedriveOf)
	}
	if v.RedrivenAs != "" {
		fmt.Fprintf(w, "heir      %s\n", v.RedrivenAs)
	}
	for _, entry := range v.History {
		fmt.Fprintf(w, "  %s  run %d  %s  %s\n", entry.At.Local().Format(historyTimeFormat), entry.Run, entry.Event, entry.Note)
	}
}

// formatState returns the state of an invocation, or its outcome once it has completed, followed by "may have run" and
// "dead" where they apply.
func formatState(v control.Invocation) string {
	text := v.State
	if v.Outcome != "" {
		text = v.Outcome
	}
	if v.MayHaveRun {
		text += ", may have run"
	}
	if v.DeadLetter {
		text += ", dead"
	}
	return text
}

// formatTime formats t in local time. It returns a dash for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Local().Format(time.DateTime)
}
