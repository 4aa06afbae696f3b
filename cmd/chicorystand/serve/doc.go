// Package serve is the HTTP server of the stand-ins, built on nbhttp. Each request
// becomes an Exchange, which may be answered immediately, later or in pieces from any
// goroutine. A handler therefore returns at once and no goroutine waits for a slow
// answer.
//
// A Server can also silence its open connections: they stay open and TCP
// acknowledges what the peer sends, but no answer is written anymore. To the peer it
// looks like a process that hangs, or a link that has lost its connection state.
package serve
