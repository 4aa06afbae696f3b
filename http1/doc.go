// Package http1 reads and writes HTTP/1.1 messages. Its readers don't block: they
// are fed with the bytes that an event loop has received.
//
// Heads are parsed by net/http; bodies are delivered as they arrive. Framing is
// strict: a message that states its length twice, or in an invalid way, is an
// error, as other implementations might find its end elsewhere (request
// smuggling). Sizes are in bytes.
package http1
