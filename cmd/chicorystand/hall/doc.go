// Package hall simulates the platform on which "chicoryhall pass" runs: the
// store with rows, conditional writes and a change feed, engines that hold
// layers and list themselves in the store, plain endpoints, and the initial
// configuration that an operator writes.
//
// It is written from the documentation of the platform's protocol alone, so
// that a fault seen on the real platform can be tested without it. Times follow
// the documented formulas. Requests do not wait for each other's steps; instead,
// each further request in progress slows all of them down. The ledger records
// which endpoints ran each request.
package hall
