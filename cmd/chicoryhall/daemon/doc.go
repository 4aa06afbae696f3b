// Package daemon builds one chicoryhall daemon: it constructs the parts in the
// order of their dependencies and hands them to a tree of supervisors.
//
// Each part has a file with one method of builder, which constructs the part,
// stores it under its interface from the root package and adds what must run to
// a supervisor. A part sees the others only through those interfaces.
//
//	daemon
//	├── base: timer, engine client
//	├── knowledge: documents, members, endpoints
//	├── decisions: router, admission, keeper, claims
//	└── interfaces: callers, operators, peers
package daemon
