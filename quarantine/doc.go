// Package quarantine finds the request that crashes endpoints and keeps it from
// crashing more than two.
//
// When an endpoint crashes, every request that ran on it is a suspect. A suspect
// runs again only under a reservation of its new endpoints: no other suspect
// runs on them, and requests with the same fingerprint wait. When a reserved
// endpoint crashes, the suspect that holds it is convicted: it is refused, its
// repeats are refused at every daemon, and all others on that endpoint are
// innocent. A suspect that has generated a few tokens beyond the crash is
// cleared.
//
// One daemon decides for all that can reach it: Arbiter is its state machine,
// ArbiterOf names it. Guard is what every daemon knows from the arbiter's
// notices. The package does no I/O; time is passed in.
package quarantine
