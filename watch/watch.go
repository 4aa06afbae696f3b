package watch

import (
	"context"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

// pollPeriod is the time between two load reports of one endpoint.
const pollPeriod = 500 * time.Millisecond

// Loads fetches load reports.
type Loads interface {
	// Load asks the endpoint at an address and calls done once, on any goroutine.
	Load(address string, done func(chicoryhall.Load, error))
}

// Config is what a Watch needs.
type Config struct {
	Timer     chicoryhall.Timer
	Documents chicoryhall.Documents
	Loads     Loads
}

// Watch keeps the view current while Serve runs.
type Watch struct {
	timer     chicoryhall.Timer
	documents chicoryhall.Documents
	loads     Loads

	mu          sync.Mutex
	entries     map[chicoryhall.EngineID]*entry
	subscribers []func(chicoryhall.EngineID, chicoryhall.EndpointState)
}

// New returns a Watch that knows no endpoint yet.
func New(config Config) *Watch {
	return &Watch{
		timer:     config.Timer,
		documents: config.Documents,
		loads:     config.Loads,
		entries:   map[chicoryhall.EngineID]*entry{},
	}
}

// Serve polls the endpoints of all documents in force until ctx ends.
func (w *Watch) Serve(ctx context.Context) error {
	polls := w.timer.Every(pollPeriod, func(time.Time) { w.poll() })
	defer polls.Cancel()
	w.poll()
	<-ctx.Done()
	return ctx.Err()
}

// View returns what is believed of one endpoint.
func (w *Watch) View(id chicoryhall.EngineID) chicoryhall.EndpointView {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.entries[id]
	if !ok {
		return chicoryhall.EndpointView{State: chicoryhall.EndpointLoading}
	}
	return chicoryhall.EndpointView{State: e.state(), Load: e.load, InFlight: e.inFlight}
}

// Observe reports what this daemon's traffic showed.
func (w *Watch) Observe(id chicoryhall.EngineID, observed chicoryhall.Observation) {
	now := w.timer.Now()
	w.change(id, func(e *entry) { e.observe(observed, now) })
}

// Begin counts one more piece of work at the endpoint.
func (w *Watch) Begin(id chicoryhall.EngineID) {
	w.change(id, func(e *entry) { e.inFlight++ })
}

// End counts one piece of work less at the endpoint.
func (w *Watch) End(id chicoryhall.EngineID) {
	w.change(id, func(e *entry) { e.inFlight = max(0, e.inFlight-1) })
}

// Subscribe calls changed when an endpoint's state changes; it must not block.
func (w *Watch) Subscribe(changed func(id chicoryhall.EngineID, state chicoryhall.EndpointState)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subscribers = append(w.subscribers, changed)
}

// change applies one input to an entry and tells the subscribers of a new state.
func (w *Watch) change(id chicoryhall.EngineID, apply func(*entry)) {
	w.mu.Lock()
	e, ok := w.entries[id]
	if !ok {
		e = &entry{}
		w.entries[id] = e
	}
	before := e.state()
	apply(e)
	after := e.state()
	subscribers := w.subscribers
	w.mu.Unlock()
	if before == after {
		return
	}
	for _, changed := range subscribers {
		changed(id, after)
	}
}

// poll asks every endpoint of the documents in force for its load.
func (w *Watch) poll() {
	asked := map[chicoryhall.EngineID]bool{}
	for _, inForce := range w.documents.All() {
		for _, endpoint := range inForce.Document.Endpoints {
			if !asked[endpoint.ID] {
				asked[endpoint.ID] = true
				w.pollOne(endpoint.ID, endpoint.Address)
			}
		}
	}
}

func (w *Watch) pollOne(id chicoryhall.EngineID, address string) {
	w.loads.Load(address, func(load chicoryhall.Load, err error) {
		now := w.timer.Now()
		if err != nil {
			w.change(id, func(e *entry) { e.observe(observationOf(err), now) })
			return
		}
		if load.Engine != id {
			return // Another endpoint has taken over the address.
		}
		w.change(id, func(e *entry) { e.report(load, now) })
	})
}
