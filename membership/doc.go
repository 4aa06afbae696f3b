// Package membership keeps each daemon's view of all daemons; it implements
// chicoryhall.Members.
//
// State is a state machine that follows the SWIM protocol: each daemon probes
// one peer at a time, asks other peers to probe it indirectly when no answer
// comes, piggybacks changes on the probes, and lets a suspected daemon refute
// the suspicion by raising its incarnation number. It does no I/O: methods take
// inputs and return the Actions to carry out. Membership runs it over package
// peer. The traffic of each daemon, in bytes per second, does not depend on the
// number of daemons.
//
// A daemon that was paused, or that a peer declared dead, is fenced: it must not
// act as a holder of requests (see package holder) until a peer answers a probe.
package membership
