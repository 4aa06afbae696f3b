// Package explore is an explicit-state model checker: it visits every reachable
// state of a small model and checks an invariant in each. Tests use it to check
// decisions for every possible order of events.
package explore
