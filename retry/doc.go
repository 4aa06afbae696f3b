// Package retry decides whether a failed request may be run again: at most the
// share of successful requests that the service's document allows, at most a
// set number of endpoints in one place of a request's route, and never an
// endpoint that this request already suspects.
//
// The package does no I/O. One Budget serves a service at one daemon; one Trail
// belongs to one request.
package retry
