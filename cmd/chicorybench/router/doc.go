// Package router is a caller of the router: it submits a request, reads its
// server-sent events with a standard client library, resumes a cut answer at
// another daemon and tells how the request ended.
//
// It uses net/http rather than nbhttp's client so that the router's answers
// are judged by an implementation that shares no code with its server.
package router
