// Package passthrough forwards callers' HTTP/1.1 requests to endpoints and the
// answers back unchanged. All connections are served by one event loop.
//
// A Server reads callers' requests. Each starts an exchange (callerExchange), which
// asks other packages for decisions: package routing for its rule and
// organisation, admission for permission to start, pipeline for the endpoints,
// and package exchange for what to do after a failure. An exchange makes one or
// more attempts. All events of one caller's connection (bytes, timers, and
// events of the endpoint's connection) go through the connection's mailbox,
// which handles them one at a time. Exchanges therefore need no locks, and no
// goroutine waits for an answer.
//
// Headers that are not part of HTTP itself are read and written by a
// chicoryhall.Dialect.
package passthrough
