// Package relay copies data between pairs of TCP connections with nbio, for the
// stand-ins that are placed between two processes. A Shaper may delay or discard
// data or close the pair. Delayed data is sent before a connection is closed.
package relay
