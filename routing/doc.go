// Package routing tells which rule, organisation and service a request belongs
// to, by the newest rule set that this daemon knows.
//
// CurrentRules only ever takes a greater version, from any source, stale or not, so
// that a daemon never goes back. Documents joins the rule set's services with
// the endpoints that the platform lists. The package does no I/O.
package routing
