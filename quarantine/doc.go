// Package quarantine identifies requests that crash the endpoints they run on ("queries of death")
// and limits the endpoints that each of them crashes.
//
// There are two ways for daemons to agree. Daemons that call each other have an Arbiter, of which
// each keeps a Replica; the next two paragraphs describe it. Daemons that share only a table each
// write a Report and derive the state of a fingerprint from all reports (Evidence); a suspect runs
// in trials for which Reservations reserve endpoints. Losses finds out which lost attempts the
// crash of an endpoint explains. The package does no I/O.
//
// On the users' platform, evidence is also gathered under the parts of prompts that requests share: Content holds all names
// of a request, and Passes tells parts that are harmless as most answers to prompts with them go on.
//
// Requests with the same content have the same fingerprint. When an endpoint crashes, the
// fingerprints of the requests that ran on it become suspects. A request with a suspect fingerprint
// runs again only under a reservation of its new endpoints: no other suspect runs on them, and
// other requests with the fingerprint wait. When a reserved endpoint crashes, the suspect that
// holds the reservation is convicted: all requests with its fingerprint are refused by every
// daemon. The other requests that ran on the reserved endpoint do not become suspects. A suspect is
// cleared when its request generates further tokens after the retry or is answered in full; package
// requests decides this and reports it with QueryPassed.
//
// A suspect therefore crashes at most two endpoints if its requests run one after another: one that
// makes it a suspect and one under the reservation. It may crash one more if other endpoints fail
// at the same time, so that the crash may have another cause, and one for every further request
// that starts before its daemon learns of the suspicion.
package quarantine
