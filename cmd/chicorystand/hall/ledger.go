package hall

import "sync"

// LedgerEntry records a request that an endpoint ran, a request with an invalid route, or an order that exceeds the
// engine's memory.
type LedgerEntry struct {
	Request  string `json:"request"`
	Endpoint string `json:"engine"`
	// Behind is the ID of the event after which a stream was resumed, or empty.
	Behind string `json:"behind,omitempty"`
	// Wrong describes what was wrong with the request or order as it arrived, or is empty.
	Wrong string `json:"wrong,omitempty"`
}

// Ledger records what the endpoints actually ran, to be compared with the answers that callers received, and mistakes of
// the daemons.
type Ledger struct {
	mu      sync.Mutex
	entries []LedgerEntry
}

func (l *Ledger) add(entry LedgerEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, entry)
}

// Entries returns a copy of all entries in the order in which they were added.
func (l *Ledger) Entries() []LedgerEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]LedgerEntry{}, l.entries...)
}
