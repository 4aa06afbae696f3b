// Package event defines the catalogue of numbered log events and the logger that
// writes them. Operators look up the number of a log line in docs/EVENTS.md,
// which is generated from this catalogue.
//
// Number ranges: 1000 process and settings, 2000 callers and streams, 2500
// engines, 3000 peers and membership, 4000 configuration and the platform's
// table, 5000 leases and orders, 6000 stand-ins, 7000 load and experiments.
package event
