// Package chicoryhall defines the value types and interfaces that the packages
// of the router share.
//
// A daemon of the router accepts requests from callers and runs them at
// endpoints: chains of model engines (pipeline services) or single VMs (plain
// services).
//
// The subpackages implement the interfaces. Decisions (pipeline choice,
// admission, retries, membership, claims, leases, configuration) are state
// machines that do no I/O and take the time from a Timer. The packages that
// are named after a peer or a protocol (engine, caller, peer, table, operator)
// do the network I/O.
package chicoryhall
