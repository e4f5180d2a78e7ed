package descriptors

import (
	"fmt"
	"log/slog"
	"os"

	"kitefall/internal/logthrottle"
	"kitefall/internal/metrics"
)

// openDescriptors lists the descriptors of this process (source: proc(5)).
const openDescriptors = "/proc/self/fd"

// violationUnaccounted names descriptors that are open beyond the budget, in metrics.
const violationUnaccounted = "descriptors_beyond_budget"

// unaccountedLog is throttled, since a leak is seen again and again.
var unaccountedLog = logthrottle.New()

// Budget is all shares of a process. It is safe for concurrent use.
type Budget struct {
	Clients   *Share
	Workers   *Share
	Discovery *Share
	Operators *Share
	Devices   *Share
	ownFiles  int
}

// NewBudget returns the budget for shares.
func NewBudget(s Shares) *Budget {
	return &Budget{
		Clients:   NewShare(s.Clients),
		Workers:   NewShare(s.Workers),
		Discovery: NewShare(s.Discovery),
		Operators: NewShare(s.Operators),
		Devices:   NewShare(s.Devices),
		ownFiles:  ownFiles(s.Devices),
	}
}

// Granted returns how many descriptors are in use of all shares.
func (b *Budget) Granted() int {
	granted := 0
	for _, share := range []*Share{b.Clients, b.Workers, b.Discovery, b.Operators, b.Devices} {
		granted += share.InUse()
	}
	return granted
}

// Check compares the descriptors that are open with those that were granted, and counts a violation where more are open than
// the process itself may have beside them.
func (b *Budget) Check() {
	entries, err := os.ReadDir(openDescriptors)
	if err != nil {
		return // this system does not tell
	}
	b.compare(len(entries))
}

func (b *Budget) compare(open int) {
	granted := b.Granted()
	if open <= granted+b.ownFiles {
		return
	}
	metrics.Violations.Add(violationUnaccounted)
	unaccountedLog.Log(slog.LevelError, "descriptors: more are open than were granted", "open", open, "granted", granted,
		"shares", b.String())
}

// String returns what is in use of each share, for the log.
func (b *Budget) String() string {
	return fmt.Sprintf("clients=%d/%d workers=%d/%d discovery=%d/%d operators=%d/%d devices=%d/%d",
		b.Clients.InUse(), b.Clients.Limit(), b.Workers.InUse(), b.Workers.Limit(), b.Discovery.InUse(), b.Discovery.Limit(),
		b.Operators.InUse(), b.Operators.Limit(), b.Devices.InUse(), b.Devices.Limit())
}
