// Package routing finds the rule, organisation and service of a request in the
// newest rule set that this daemon knows. A rule set is one version of the
// configuration that operators write (chicoryhall.RuleSet).
//
// CurrentRules only accepts a rule set with a greater version than the current
// one, so that a source that lags never makes a daemon return to older rules.
// Documents completes the rule set's documents, which describe the services, with
// the endpoints that the platform lists. A service that a newer rule set lacks
// keeps its last document. The package does no I/O.
package routing
