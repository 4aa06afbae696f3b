package hall

import "sync"

// Run is one run of a request at an endpoint.
type Run struct {
	Request  string `json:"request"`
	Endpoint string `json:"engine"`
	// Behind is the ID of the event after which a stream was resumed, or empty.
	Behind string `json:"behind,omitempty"`
	// Wrong describes what was wrong with the request as it arrived, or is empty.
	Wrong string `json:"wrong,omitempty"`
}

// Ledger records what the endpoints actually ran, to be compared with the answers that callers got.
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
