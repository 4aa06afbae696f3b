// Package chicoryhall holds the typed values and the interfaces that the parts
// of the router share.
//
// Implementations lie in the packages below this one. Each decision (pipeline
// choice, admission, retry, membership, claims, leases, configuration) is a
// state machine without I/O that takes its time from a Timer; the packages
// named after a peer or protocol (engine, caller, peer, table, operator) carry
// the bytes.
package chicoryhall
