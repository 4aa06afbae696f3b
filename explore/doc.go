// Package explore is an explicit-state model checker: it visits every reachable
// state of a small model and checks an invariant in each. Tests use it to check
// protocols between daemons for every order of events: the model of a protocol
// has a step for each possible event.
package explore
