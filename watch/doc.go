// Package watch tracks the state and load of endpoints. It has two
// implementations of chicoryhall.Endpoints. Watch polls the endpoints, exchanges
// sightings with other daemons and reads the platform's list of VMs
// (VMListReader). ListedEndpoints follows the platform's list of endpoints
// (chicoryhall.Listing), which is another list than that of the VMs.
//
// Both merge sources that may lag behind the endpoint: load reports, the
// platform's list, the daemon's own traffic and, for Watch, what other daemons
// report. The state of one endpoint is a state machine without I/O.
//
// In Watch, an endpoint that any source has reported as leaving counts as leaving,
// unless it is dead, until a load report of a new incarnation arrives. The first
// load report ever counts as one of a new incarnation. In ListedEndpoints, it counts as
// leaving while its listing says so, and after it refused a request because it is
// leaving, until a listing shows that it has restarted.
package watch
