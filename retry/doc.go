// Package retry bounds the requests that are run again at live endpoints to the
// share of successful requests that the service's document allows.
//
// How many endpoints one request may meet in one place of its route is kept by
// package stream, with the request. The package does no I/O.
package retry
