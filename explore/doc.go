// Package explore is an explicit-state model checker: it visits every reachable
// state of a small model and checks an invariant in each. Tests use it with
// models of protocols between daemons, whose steps are the possible events, to
// check them for every order of events.
package explore
