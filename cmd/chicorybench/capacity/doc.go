// Package capacity measures how the costs of control in a daemon grow, and
// extrapolates them to the design size, a large deployment, on a Markdown page.
// Control is all work of a daemon other than transferring the data of requests,
// which are their records and tokens: choosing routes, enforcing limits, tracking
// daemons and endpoints, and so on. Sending records and tokens to backups is
// divided: its messages are data and are listed apart, but its memory and the
// processor time for encoding and decoding batches of tokens count as control.
//
// As no single machine can run the design size, each part of the work is measured
// separately: the daemon's own code gets the inputs that it would get at the
// design size from small fakes of its interfaces. Costs that arise only between
// many daemons are observed on running daemons at several sizes.
//
// The quantity with which a cost grows, such as the number of engines, is called
// its driver, as in package slope.
package capacity
