// Package slope measures how a cost grows with its driver at several sizes and
// fits a line, from which the capacity page works out the cost at the design size.
package slope
