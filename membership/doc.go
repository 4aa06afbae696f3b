// Package membership keeps each daemon's view of all daemons. It has two
// implementations of chicoryhall.Members: Membership, for daemons that call each
// other, and TableMembers, for daemons that share only the platform's table.
//
// Membership runs a State over package peer. State is a state machine that follows
// the SWIM protocol: each daemon probes one peer at a time, asks other peers to
// probe it indirectly when no answer comes, piggybacks changes on the probes, and
// lets a suspected daemon refute the suspicion by raising its incarnation number.
// In addition daemons compare digests of all their entries, and exchange all
// entries, a full sync, where the digests stay different. State does no I/O: its
// methods take inputs and return the Actions to carry out.
//
// While nothing changes, the traffic of a daemon does not depend on the number of
// daemons: probes are sent at a fixed rate and the size of a Packet is bounded.
//
// A daemon that was paused, or that a peer declared dead, is fenced: it must not
// act as a holder of requests (see package holder) until a peer answers a probe
// that it sends afterwards. That answer tells it whether it was declared dead. If
// all peers that it knows are dead, none can answer, and its next tick ends the
// fence.
package membership
