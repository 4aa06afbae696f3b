// Package daemon builds a daemon of "chicoryhall serve": it constructs the
// components in the order of their dependencies and adds them to a tree of
// supervisors.
//
// Each component has a build method of builder, which constructs it, stores it
// in the builder, in most cases as an interface of the root package, and adds
// what has to run to a supervisor.
//
//	daemon
//	├── base: timer, engine client
//	├── knowledge: peers, members, documents, endpoints, VM list, served model versions
//	├── decisions: placement, replication of requests, claims, rate limits, quarantine
//	└── interfaces: requests, caller API, operator API
//
// The router, admission, idempotency keys and retry budgets run in the calls of
// other components and need no supervisor.
package daemon
