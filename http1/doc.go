// Package http1 reads and writes HTTP/1.1 messages on connections of an event
// loop.
//
// Heads are parsed by net/http; bodies are delivered as they arrive. Framing is
// strict: a message that states its length twice, or in an invalid way, is an
// error, as other implementations might find its end elsewhere (request
// smuggling). Sizes are in bytes.
package http1
