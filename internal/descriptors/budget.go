package descriptors

import (
	"fmt"
	"log/slog"
	"os"

	"kitefall/internal/logthrottle"
	"kitefall/internal/metrics"
)

// openDescriptors is the directory that lists the open descriptors of this process (source: proc(5)).
const openDescriptors = "/proc/self/fd"

// violationUnaccounted is the metrics label for more open descriptors than the budget allows.
const violationUnaccounted = "descriptors_beyond_budget"

// unaccountedLog is throttled, since every check reports a leak again.
var unaccountedLog = logthrottle.New()

// Budget holds all descriptor shares of a process. It is safe for concurrent use.
type Budget struct {
	Clients        *Share
	Workers        *Share
	Discovery      *Share
	Operators      *Share
	InvokeClients  *Share
	ownDescriptors int
}

// NewBudget returns a budget with shares of the given sizes, all unused.
func NewBudget(s Shares) *Budget {
	return &Budget{
		Clients:        NewShare(s.Clients),
		Workers:        NewShare(s.Workers),
		Discovery:      NewShare(s.Discovery),
		Operators:      NewShare(s.Operators),
		InvokeClients:  NewShare(s.InvokeClients),
		ownDescriptors: ownDescriptors(s.InvokeClients),
	}
}

// Granted returns the number of descriptors in use over all shares.
func (b *Budget) Granted() int {
	granted := 0
	for _, share := range []*Share{b.Clients, b.Workers, b.Discovery, b.Operators, b.InvokeClients} {
		granted += share.InUse()
	}
	return granted
}

// Check compares the number of open descriptors with the number granted. It counts a violation if more are
// open than those granted plus those reserved for the process itself.
func (b *Budget) Check() {
	entries, err := os.ReadDir(openDescriptors)
	if err != nil {
		return // the system does not list open descriptors
	}
	b.compare(len(entries))
}

func (b *Budget) compare(open int) {
	granted := b.Granted()
	if open <= granted+b.ownDescriptors {
		return
	}
	metrics.Violations.Add(violationUnaccounted)
	unaccountedLog.Log(slog.LevelError, "descriptors: more are open than were granted", "open", open, "granted", granted,
		"shares", b.String())
}

// String returns the use and the limit of each share, for the log.
func (b *Budget) String() string {
	return fmt.Sprintf("clients=%d/%d workers=%d/%d discovery=%d/%d operators=%d/%d devices=%d/%d",
		b.Clients.InUse(), b.Clients.Limit(), b.Workers.InUse(), b.Workers.Limit(), b.Discovery.InUse(), b.Discovery.Limit(),
		b.Operators.InUse(), b.Operators.Limit(), b.InvokeClients.InUse(), b.InvokeClients.Limit())
}
