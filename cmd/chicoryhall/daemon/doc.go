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
//	├── knowledge: documents, members, endpoints
//	├── decisions: router, admission, keeper, claims
//	└── interfaces: callers, operators, peers
package daemon
