// Package routing finds the rule, organisation and service of a request in the
// newest rule set that this daemon knows.
//
// CurrentRules only accepts rule sets with a greater version, so that a stale
// source never makes a daemon return to older rules. Documents combines the rule
// set's services with the endpoints that the platform lists. The package does no
// I/O.
package routing
