package hall

import "sync"

// Run is one run of a request at an endpoint.
type Run struct {
	Request string `json:"request"`
	Engine  string `json:"engine"`
	// Behind is the event behind which a stream went on, or empty.
	Behind string `json:"behind,omitempty"`
	// Wrong tells what was wrong with the request as it arrived, or is empty.
	Wrong string `json:"wrong,omitempty"`
}

// Ledger notes what the endpoints truly ran.
type Ledger struct {
	mu   sync.Mutex
	runs []Run
}

func (l *Ledger) add(run Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run)
}

// Runs returns all runs in their order.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run{}, l.runs...)
}
