// Package client is a client of the API that daemons offer to callers: it submits
// a request, reads the server-sent events of the answer, resumes an interrupted
// answer at another daemon and reports how the request ended.
//
// The daemons' server is built on nbhttp. The client uses net/http and the library
// go-sse instead, so that the answers are checked by implementations that share
// no code with the server.
package client
