// Package lease elects, through one row of the platform's table, the daemon that
// gives orders to the engines of a failure domain.
//
// No clocks are compared. A holder counts its lease from the moment before its
// last confirmed write was sent, and stops a margin before the end. A candidate
// counts from the moment after it first read the row as it is, and takes the
// lease only if the row did not change for the whole duration and a drift. Each
// holder has a greater fencing number than the one before it.
//
// Lease is pure: it is told reads and writes with their times.
package lease
