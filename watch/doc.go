// Package watch is the daemon's view of endpoints; it implements
// chicoryhall.Endpoints.
//
// The view merges sources that are all late: load reports, the platform's list
// of VMs, the daemon's own traffic and the digests of its peers. Leaving from
// any source wins until the endpoint starts again under a new incarnation. The
// entry of one endpoint is a state machine without I/O; Watch feeds it.
package watch
