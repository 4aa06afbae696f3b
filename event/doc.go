// Package event defines the catalogue of numbered log events and the logger that
// writes them. Operators look up the number of a log line in docs/EVENTS.md,
// which is generated from this catalogue.
//
// Number ranges: 1000 process and settings, 2000 callers and requests, 2500
// endpoints, 3000 peers and membership, 4000 service documents and the
// platform's table, 4100 operators and certificates, 4150 the platform's store,
// 5000 leases and orders, 5100 listed endpoints, 6000 stand-ins. 7000 is
// reserved for load generation and experiments.
//
// The platform's table is the service that stores documents, claims and leases
// of "chicoryhall serve"; the platform's store holds the rules, and the rows of
// endpoints, daemons and leases, of "chicoryhall pass".
package event
