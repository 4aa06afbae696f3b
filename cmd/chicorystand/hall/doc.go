// Package hall simulates the platform on which "chicoryhall pass" runs: a store
// with rows, conditional writes and a change feed; engines, which hold layers of
// a model; plain endpoints, which have none; and the initial configuration that
// an operator writes to the store. Engines and plain endpoints list themselves in
// the store.
//
// The implementation follows nothing but the documentation of the platform's
// protocol, including its formulas for times, and shares no code with the daemons.
// It allows faults seen on the real platform to be tested without that platform.
// Engines are simplified: they do not compute in batches. Instead, the time for a
// token grows with the number of requests in progress. The ledger records the
// requests that arrived at endpoints, and what was wrong with them.
package hall
