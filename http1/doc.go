// Package http1 frames HTTP/1.1 messages on connections of an event loop.
//
// Heads are parsed by net/http; bodies are handed on as they arrive. Framing is
// strict: a message whose length is told twice, or not as the protocol says, is
// an error, as another reader might see another end in it. Sizes are in bytes.
package http1
