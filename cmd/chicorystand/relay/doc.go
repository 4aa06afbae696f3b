// Package relay copies data between pairs of TCP connections with nbio, for the
// stand-ins that are placed between two processes: the balancer and the proxy. A
// pair consists of an accepted connection and one to a target. A Shaper may delay or
// discard the data or close the pair. If one peer closes its connection, the data
// received from it before is still sent, delayed data included, and then the pair is
// closed.
package relay
