// Package capacity measures how the costs of control in a daemon grow, and
// extrapolates them to the design size on a Markdown page.
//
// As no single machine can run the design size, each decision is measured
// separately: the daemon's own code gets the inputs that it would get at the
// design size from small fakes of its interfaces. Costs that arise only between
// many daemons are observed on running daemons at several sizes.
package capacity
