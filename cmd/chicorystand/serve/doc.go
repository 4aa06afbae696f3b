// Package serve is the HTTP server of the stand-ins, built on nbhttp. Each request
// becomes an Exchange, which may be answered immediately, later or in pieces, and from
// any goroutine, but only from one at a time. A handler must not wait until the
// answer is known: it returns at once, and the answer is written later, so no goroutine
// waits for a slow answer.
//
// A Server can also silence the connections on which it has received a request: they
// stay open and TCP acknowledges what the peer sends, but no answer is written
// anymore. To the peer it looks like a process that hangs, or a link that has lost its
// connection state.
package serve
