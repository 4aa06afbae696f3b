// Package slope stores measurements of how a cost grows with the size of what
// drives it, and fits lines to them. The capacity page extrapolates the lines to
// the design size.
package slope
