// Package lease elects the daemon that sends orders to the endpoints of a failure domain, through
// one row of a shared table.
//
// Clocks of different daemons are never compared. A lease lasts for Config.Duration. Its holder
// measures this time from the moment at which it sent its last confirmed write, and no longer
// regards the lease as valid from Config.Margin before its end. A candidate measures it from the
// moment at which its first read of the row's current state returned. It takes the lease only if
// the row has not changed for the duration plus an allowance for clocks that run at different
// speeds.
//
// Each holder has a higher fencing number than the one before it and puts it into its orders.
// Endpoints that support fencing refuse orders with a lower number than the highest they have seen.
// For other endpoints, a new holder waits until no order of a previous one can arrive any more.
//
// Lease does no I/O: it is told the reads and writes with their times.
package lease
