// Package passthrough forwards callers' HTTP/1.1 requests to endpoints and the
// answers back unchanged. All connections are served by one event loop, that of package tcp.
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
// Where this daemon reaches no endpoints of a service, package relay chooses another daemon,
// and the attempt sends the request there as its caller sent it. A Server takes such requests
// at an address of its own, and handles them like a caller's.
//
// Headers that are not part of HTTP itself are read and written by a
// chicoryhall.Dialect.
package passthrough
