// Package quarantine identifies requests that crash the endpoints they run on
// ("queries of death") and limits each of them to two crashed endpoints.
//
// When an endpoint crashes, every request that ran on it becomes a suspect. A
// suspect is retried only under a reservation of its new endpoints: no other
// suspect runs on them, and requests with the same fingerprint wait. When a
// reserved endpoint crashes, the crash is attributed to the suspect that holds
// the reservation. That suspect is convicted: it and all later requests with its
// fingerprint are refused by every daemon, while the other requests that ran on
// the endpoint do not become suspects. A suspect that generates a few tokens
// beyond the point of the crash is cleared.
//
// One daemon, chosen by ArbiterOf, decides for all daemons that can reach it;
// Arbiter is its state machine. Guard is each daemon's copy of the arbiter's
// decisions, kept up to date by notices. The package does no I/O, and callers
// pass in the current time.
package quarantine
