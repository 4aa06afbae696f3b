// Package pipeline chooses the engines that run a request: a chain whose layer
// ranges cover the model once, in order, at the least expected completion time.
//
// A plan is built from a service's document and the live view of its endpoints
// and is kept until either changes. Engines of one failure domain, accelerator
// kind and layer range form a group; a choice samples a few engines of each
// group, so that daemons that read the same late reports do not all pick the
// same engine, and then searches the shortest path over layer boundaries.
//
// The package does no I/O. Durations are time.Duration at the interface and
// float64 nanoseconds inside.
package pipeline
