// Package faultproxy stands in for the links between processes: it listens on
// many addresses, passes each connection on to its target and lets the link
// fail as its faults say. Faults are set per link while it runs.
package faultproxy
