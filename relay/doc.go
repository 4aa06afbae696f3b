// Package relay decides when a daemon hands requests to another daemon, and to which.
//
// A daemon may be partitioned from all endpoints of a service while callers and other daemons still reach it. Breakers
// recognises that for each service. Peers chooses the daemon that takes a request, which handles it as if its caller had
// connected there, and answers through the first one. A request is handed over at most once. Guests tells how many daemons
// hand requests to this one, which then uses their part of the endpoints too.
//
// The package does no I/O. Package passthrough sends and receives the requests, as HTTP/1.1 with the headers of this package.
package relay
