package hall

import "sync"

// Run is an entry of the ledger: a request that an endpoint ran, or a request or order in which something was wrong.
type Run struct {
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
	mu   sync.Mutex
	runs []Run
}

func (l *Ledger) add(run Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run)
}

// Runs returns all runs in the order in which they started.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run{}, l.runs...)
}
