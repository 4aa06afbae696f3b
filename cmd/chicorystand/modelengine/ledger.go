package modelengine

import (
	"slices"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
)

// Ledger records what an engine actually ran, for tests to check.
type Ledger struct {
	Engine chicoryhall.EndpointID `json:"engine"`
	Runs   []Run                  `json:"runs"`
	Orders []OrderRun             `json:"orders"`
}

// Run records what the engine ran for one attempt of a stream in one range of layers.
type Run struct {
	Stream  chicoryhall.RequestID `json:"stream"`
	Attempt int                   `json:"attempt"`
	From    int                   `json:"from"`
	To      int                   `json:"to"`
	// Index is the index of the hop in the route.
	Index int `json:"index"`
	// Opens is the number of times that the attempt was opened on this engine.
	Opens int `json:"opens"`
	// Positions are the ranges of positions that were run, in order.
	Positions []PositionRange `json:"positions"`
	// Repeats counts the positions that were run more than once.
	Repeats int `json:"repeats"`
	// Imported is the number of positions held at the end of a KV import. If the import failed, these are the positions
	// of a cached prefix, or 0.
	Imported int `json:"imported,omitempty"`
	// AtMillis is the time at which the attempt was first opened, in Unix milliseconds.
	AtMillis int64 `json:"atMillis"`
}

// PositionRange is a range of positions [From,To).
type PositionRange struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// OrderRun records one order that the engine received.
type OrderRun struct {
	Fence    int64                    `json:"fence"`
	Holdings []chicoryhall.LayerRange `json:"holdings,omitempty"`
	Leaving  bool                     `json:"leaving,omitempty"`
	Refused  bool                     `json:"refused,omitempty"`
}

// run is an entry of the ledger, with the methods for changing it.
type run struct {
	Run
}

// runKey identifies a ledger entry.
type runKey struct {
	stream   chicoryhall.RequestID
	attempt  int
	from, to int
}

// ledger holds the entries, oldest first.
type ledger struct {
	runs   map[runKey]*run
	order  []*run
	Orders []OrderRun
}

func newLedger() ledger {
	return ledger{runs: map[runKey]*run{}}
}

// open returns the entry of an attempt that is opened, and counts the opening.
func (l *ledger) open(start *engine.StreamRequest, hop chicoryhall.Hop, index int, atMillis int64) *run {
	key := runKey{stream: start.Stream, attempt: start.Attempt, from: hop.From, to: hop.To}
	entry := l.runs[key]
	if entry == nil {
		entry = &run{Run{
			Stream: start.Stream, Attempt: start.Attempt, From: hop.From, To: hop.To, Index: index, AtMillis: atMillis,
		}}
		l.runs[key] = entry
		l.order = append(l.order, entry)
	}
	entry.Opens++
	if len(l.order) > maxLedgerEntries {
		oldest := l.order[0]
		delete(l.runs, runKey{stream: oldest.Stream, attempt: oldest.Attempt, from: oldest.From, to: oldest.To})
		l.order = l.order[1:]
	}
	return entry
}

// add records that positions [from,to) were run.
func (r *run) add(from, to int) {
	for _, known := range r.Positions {
		r.Repeats += max(0, min(to, known.To)-max(from, known.From))
	}
	last := len(r.Positions) - 1
	if last >= 0 && r.Positions[last].To == from {
		r.Positions[last].To = to
		return
	}
	r.Positions = append(r.Positions, PositionRange{From: from, To: to})
}

// Ledger returns a copy of the ledger.
func (e *Engine) Ledger() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := Ledger{Engine: e.settings.ID, Orders: slices.Clone(e.ledger.Orders), Runs: make([]Run, 0, len(e.ledger.order))}
	for _, entry := range e.ledger.order {
		copied := entry.Run
		copied.Positions = slices.Clone(entry.Positions)
		out.Runs = append(out.Runs, copied)
	}
	return out
}
