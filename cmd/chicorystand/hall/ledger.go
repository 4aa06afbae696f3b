package hall

import (
	"slices"
	"sync"
)

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

// RequestArrival records that a request arrived at an endpoint, also if the endpoint refused it.
type RequestArrival struct {
	Endpoint string `json:"engine"`
	// AtMillis is the Unix time in milliseconds.
	AtMillis int64 `json:"atMillis"`
}

// requestArrivals records the arrivals of all requests.
type requestArrivals struct {
	mu  sync.Mutex
	all []RequestArrival
}

func (r *requestArrivals) add(arrival RequestArrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, arrival)
}

// entries returns a copy of all arrivals in their order.
func (r *requestArrivals) entries() []RequestArrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.all)
}
