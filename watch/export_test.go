package watch

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

// Assign assigns polls as Serve does; it lets tests drive a Watch without Serve.
func (w *Watch) Assign() { w.assignPolls() }

// PollDue polls the endpoints whose next poll is due.
func (w *Watch) PollDue(now time.Time) { w.pollDue(now) }

// IsPolled reports whether this daemon polls the endpoint regularly.
func (w *Watch) IsPolled(id chicoryhall.EndpointID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[id].polled
}

// Entry is one endpoint's state machine for tests.
type Entry struct{ entry *entry }

// NewEntry returns the state machine of an endpoint of which nothing is known yet.
func NewEntry(id chicoryhall.EndpointID) Entry {
	return Entry{&entry{spec: chicoryhall.DocumentEndpoint{ID: id}}}
}

// Apply applies a report that comes from a peer, as a sighting, or from the endpoint itself.
func (e Entry) Apply(load chicoryhall.LoadReport, fromPeer bool, now time.Time) {
	if fromPeer {
		e.entry.applySighting(&Sighting{State: load.State, Incarnation: load.Incarnation, AsOfMillis: load.AsOfMillis}, now)
		return
	}
	e.entry.applyReport(load, now)
}

// State returns the endpoint's state.
func (e Entry) State() chicoryhall.EndpointState { return e.entry.state() }

// Incarnation returns the newest incarnation known.
func (e Entry) Incarnation() int64 { return e.entry.load.Incarnation }
