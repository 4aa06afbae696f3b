// Package verify checks every request of a run: it compares what the client received
// with the requests that the stand-ins recorded in their ledgers when they ran them.
// The result counts for each service, class and organisation how many requests were
// answered once, completely and correctly.
package verify
