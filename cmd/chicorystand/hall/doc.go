// Package hall simulates the platform on which "chicoryhall pass" runs: a store
// with rows, conditional writes and a change feed; engines, which hold layers of
// a model; plain endpoints, which have none; and the initial configuration that
// an operator writes to the store. Engines and plain endpoints list themselves in
// the store.
//
// The implementation is based only on the documentation of that platform's
// protocol, which also gives the formulas for times, and shares no code with the
// daemons. It allows faults seen on the real platform to be tested without that
// platform. It is independent of packages platform and modelengine, which simulate
// the platform and the engines that "chicoryhall serve" uses. Its engines are
// simpler than those of modelengine: they do not compute in batches. Instead, the
// time for a token grows with the number of requests in progress. The ledger records
// the requests that endpoints ran, and what was wrong with requests and orders.
// Requests that crash endpoints are recorded too, each time they arrive at one. Other
// requests that an endpoint refused without an error of the sender, for example as it
// had no free slot, are not recorded. Endpoints can also be paused: they are silent for
// a time, lose nothing, and go on.
package hall
