// Package relay copies bytes between pairs of TCP connections over nbio, for
// the stand-ins that sit between two processes. A Shaper may delay, drop or end
// what passes; bytes that wait are sent before an end of the connection is.
package relay
