// Package slope stores measurements of how a cost grows with the quantity that
// determines it, called its driver, and fits lines to them. An example is the
// memory of a daemon in bytes, measured at several numbers of engines. Package
// capacity extrapolates the lines to larger sizes.
package slope
