package watch

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

// Assign and PollDue let tests drive a Watch without Serve.
func (w *Watch) Assign() { w.assign() }

// PollDue polls the endpoints whose time has come.
func (w *Watch) PollDue(now time.Time) { w.pollDue(now) }

// IsWatched tells whether this daemon polls an endpoint.
func (w *Watch) IsWatched(id chicoryhall.EndpointID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[id].watched
}

// Entry is one endpoint's state machine for tests.
type Entry struct{ inner *entry }

// NewEntry returns the state machine of an endpoint that nothing is known of.
func NewEntry(id chicoryhall.EndpointID) Entry {
	return Entry{&entry{wanted: chicoryhall.DocumentEndpoint{ID: id}}}
}

// Take gives a report as it comes from the endpoint or from a peer.
func (e Entry) Take(load chicoryhall.LoadReport, fromPeer bool, now time.Time) {
	if fromPeer {
		e.inner.hear(&Sighting{State: load.State, Incarnation: load.Incarnation, AsOfMillis: load.AsOfMillis}, now)
		return
	}
	e.inner.report(load, now)
}

// State returns the strongest belief.
func (e Entry) State() chicoryhall.EndpointState { return e.inner.state() }

// Incarnation returns the newest incarnation known.
func (e Entry) Incarnation() int64 { return e.inner.load.Incarnation }
