package invocation

import "time"

const (
	// MaxHistory is the maximum number of entries in a history. When it is reached, each new entry replaces the oldest
	// one that is not among the first firstHistoryEntries.
	MaxHistory = 24

	// firstHistoryEntries is the number of oldest entries that are always kept, because they show how the invocation
	// began.
	firstHistoryEntries = 4
)

// HistoryEntry records one transition of an invocation. Run is the number of runs started until then.
type HistoryEntry struct {
	At    time.Time `cbor:"1,keyasint" json:"at"`
	Run   int       `cbor:"2,keyasint,omitempty" json:"run,omitempty"`
	Event Event     `cbor:"3,keyasint" json:"event"`
	Note  string    `cbor:"4,keyasint,omitempty" json:"note,omitempty"`
}

// appendHistory adds an entry. It does not modify the existing slice, because copies of the invocation may share it.
func (inv *Invocation) appendHistory(entry HistoryEntry) {
	if len(inv.History) >= MaxHistory {
		kept := append([]HistoryEntry(nil), inv.History[:firstHistoryEntries]...)
		inv.History = append(kept, inv.History[firstHistoryEntries+1:]...)
	}
	length := len(inv.History)
	inv.History = append(inv.History[:length:length], entry)
}
