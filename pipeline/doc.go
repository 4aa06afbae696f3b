// Package pipeline chooses the endpoints that run a request: a chain whose layer ranges cover the
// model once, in order, with the least expected completion time.
//
// A plan is built from a service's document and the current view of its endpoints, and is kept
// until either changes. Endpoints of one failure domain and accelerator kind that hold the same
// layers form a group. A choice samples a few endpoints of each group, so that daemons that see the
// same outdated load reports do not all pick the same endpoint. It then either draws a path from
// the maximum flow through the plan or searches the cheapest path over the layer boundaries.
//
// The package does no I/O. Its exported types use time.Duration; internally times are float64
// nanoseconds.
package pipeline
