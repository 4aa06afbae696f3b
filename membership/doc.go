// Package membership keeps each daemon's view of all daemons; it implements
// chicoryhall.Members.
//
// State is a state machine after SWIM: each daemon probes one peer at a time,
// asks others to probe for it when no answer comes, spreads changes on the
// probes themselves, and lets a suspected daemon refute by raising its
// incarnation number. It does no I/O: inputs go in, actions come out.
// Membership runs it over package peer. Bytes per second and daemon do not
// depend on the number of daemons.
package membership
