// Package concurrency finds out how many requests an endpoint can run at once: a limit for each endpoint that starts low after
// the endpoint has started or was out of reach, rises while the endpoint answers in time, and falls after refusals, late first
// events and failures.
//
// Each daemon keeps its own limits from its own answers. They bound the requests in flight of all daemons of its failure domain,
// as far as it knows them. An endpoint without evidence against it has no limit but its listed slots. See
// docs/design/concurrency.md.
//
// The package does no I/O and has no clock; the time is passed in.
package concurrency
