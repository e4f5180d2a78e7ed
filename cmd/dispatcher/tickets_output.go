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

// historyTimeFormat is the layout of times in an invocation's history, in local time.
const historyTimeFormat = "2006-01-02 15:04:05.000"

// The results of the commands with --json that have no type elsewhere. Their form is part of the command line.
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
		After  int64 `json:"after"` // bytes
		Before int64 `json:"before"`
	}
)

// print writes the result as JSON if --json is given, else calls printText.
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

// printTable writes one line for each invocation.
func printTable(w io.Writer, invocations []control.Invocation) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "TICKET\tTENANT\tFUNCTION\tSTATE\tRUNS\tCREATED\tEXPIRES")
	for _, v := range invocations {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", v.ID, v.Tenant, v.Function, stateText(v), v.Runs,
			timeText(v.CreatedAt), timeText(v.Expires))
	}
	table.Flush()
}

// printDetails writes all that is known of an invocation, with its history.
func printDetails(w io.Writer, v control.Invocation) {
	fmt.Fprintf(w, "ticket    %s of %s\n", v.ID, v.Tenant)
	fmt.Fprintf(w, "function  %s, %s\n", v.Function, v.Class)
	fmt.Fprintf(w, "state     %s after %d runs\n", stateText(v), v.Runs)
	fmt.Fprintf(w, "created   %s\n", timeText(v.CreatedAt))
	fmt.Fprintf(w, "expires   %s\n", timeText(v.Expires))
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

// stateText describes the state of an invocation, or its outcome once it has one.
func stateText(v control.Invocation) string {
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

// timeText formats a time in local time; the zero time is a dash.
func timeText(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Local().Format(time.DateTime)
}
