// Package pipeline chooses the endpoints that run a request: a chain whose layer ranges cover the
// model once, in order.
//
// A plan is built from a service's document and the current view of its endpoints, and is kept
// until either changes. Endpoints of one failure domain and accelerator kind that hold the same
// layers form a group. A choice samples a few endpoints of each group, so that daemons that see the
// same outdated load reports do not all pick the same endpoint. PolicyFlow then draws paths at
// random from the maximum flow through the plan, and PolicyShortest searches the path with the
// least expected completion time over the layer boundaries. Two simple policies serve as baselines.
// A path consists of groups and the layers that each of them runs; putting an endpoint in the place
// of each group gives the hops of a route.
//
// The KV of an attempt that failed is used again if possible: the endpoints that still hold it stay
// in the route, and only the layers between them get new hops.
//
// The package does no I/O. Its exported types use time.Duration; internally times are float64
// nanoseconds.
package pipeline
