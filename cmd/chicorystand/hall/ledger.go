package hall

import "sync"

// records is a list of what happened, in that order. It is safe for concurrent use.
type records[T any] struct {
	mu  sync.Mutex
	all []T
}

func (r *records[T]) add(one T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

// entries returns a copy of all records.
func (r *records[T]) entries() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]T{}, r.all...)
}

// LedgerEntry records a request that an endpoint ran, a request with an invalid route, or an order that exceeds the
// engine's memory. The daemons' answers are compared with these records.
type LedgerEntry struct {
	Request  string `json:"request"`
	Endpoint string `json:"engine"`
	// Behind is the ID of the event after which a stream was resumed, or empty.
	Behind string `json:"behind,omitempty"`
	// Wrong describes what was wrong with the request or order as it arrived, or is empty.
	Wrong string `json:"wrong,omitempty"`
}

// RequestArrival records that a request arrived at an endpoint, also if the endpoint refused it.
type RequestArrival struct {
	Endpoint string `json:"engine"`
	// Address is that of the endpoint, which it keeps when it starts again.
	Address string `json:"address"`
	// Born is when the endpoint's process was started, in Unix milliseconds.
	Born int64 `json:"born"`
	// From is the IP address that the daemon's connections come from.
	From string `json:"from"`
	// AtMillis is the Unix time in milliseconds.
	AtMillis int64 `json:"atMillis"`
}
