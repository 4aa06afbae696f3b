// Package capacity measures how the daemon's control costs grow and works them
// out for the design size on one page.
//
// Decisions that no single machine can run at full size are driven alone, by
// the daemon's real code with the inputs that the full size would send it, from
// small fakes at its interfaces. What only many daemons together show is read
// off real daemons at several sizes.
package capacity
