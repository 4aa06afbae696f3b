// Package hall stands in for the users' platform as its pages tell: the store
// with rows, conditions and a feed, engines that hold layers and list
// themselves there, plain endpoints, and the operator's first configuration.
//
// It is written from the protocol's pages alone, so that a fault seen on the
// users' bench gets a test without it. Times follow the published formulas; one
// request does not wait for another's pass, but each one more in progress makes
// all slower. The ledger tells for each request which endpoints ran it.
package hall
