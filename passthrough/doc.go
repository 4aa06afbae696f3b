// Package passthrough forwards callers' HTTP/1.1 requests to endpoints and the
// answers back unchanged. All connections are served by one event loop.
//
// A Server reads callers' requests. Each becomes an exchange, which asks other
// packages for decisions: routing for its rule and organisation, admission for
// permission to start, pipeline for the endpoints, and exchange for what to do
// after a failure. All events of one caller's connection (bytes, timers, and
// events of the endpoint's connection) go through the connection's mailbox,
// which handles them one at a time. Exchanges therefore need no locks, and no
// goroutine waits for an answer.
//
// Headers that are not part of HTTP itself are read and written by a
// chicoryhall.Dialect.
package passthrough
