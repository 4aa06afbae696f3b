// Package lease elects the daemon that sends orders to the endpoints of a failure domain, through
// one row of a shared table.
//
// Clocks of different daemons are never compared. A holder counts its lease from just before it
// sent its last confirmed write, and stops a margin before the end. A candidate counts from just
// after it first read the row in its current state, and takes the lease only if the row has not
// changed for the whole duration and an allowance for clock drift. Each holder has a higher fencing
// number than the one before it.
//
// Lease does no I/O: it is told the reads and writes with their times.
package lease
