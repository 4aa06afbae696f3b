// Package chicoryhall defines the value types and interfaces that the packages of chicoryhall
// share.
//
// Chicoryhall is a request router that consists of many daemons. A daemon accepts requests from
// callers and runs them at endpoints. A pipeline service runs a request on a chain of model
// engines, each of which has loaded some of the model's layers; one engine of the chain is a stage,
// or Hop. A plain service runs a request on a single VM. Where callers and endpoints have an HTTP
// interface of their own, a request is passed through with other headers (see Dialect and Rule);
// such a request and its answer are called an exchange.
//
// An engine keeps the keys and values of attention (KV) of the tokens that it has processed.
// Building the KV of a prompt is called prefill. The daemon that holds a lease on a failure domain
// orders its engines to load layers. Each order carries a fencing number that increases with every
// new holder of the lease; an engine that has seen a higher number refuses the order.
//
// The subpackages implement the interfaces. Decisions (pipeline choice, admission, retries,
// membership, claims, leases, configuration) are made by types that do no I/O and get the time from
// a Timer or as a parameter. Network I/O is done by the packages that are named after a peer or a
// protocol (engine, caller, peer, table, operator), and by passthrough for exchanges.
package chicoryhall
