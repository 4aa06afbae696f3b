// Package faultproxy simulates unreliable network links between processes. For each
// link it listens on an address, relays every connection to the link's target, and
// injects the link's faults, which can be changed while the proxy runs.
package faultproxy
