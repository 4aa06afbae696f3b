// Package client is a client of the caller API: it submits a request, reads its
// server-sent events with a standard library, resumes an interrupted answer at
// another daemon and reports how the request ended.
//
// It uses net/http instead of nbhttp's client, so that the daemons' answers are
// checked by an implementation that shares no code with their server.
package client
