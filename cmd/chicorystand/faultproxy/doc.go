// Package faultproxy simulates links between processes that can fail. It listens
// on several addresses, relays each connection to its target, and injects the
// faults of the link. Faults are set for each link while the proxy runs.
package faultproxy
