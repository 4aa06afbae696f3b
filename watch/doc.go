// Package watch tracks the state and load of endpoints. It has two
// implementations of chicoryhall.Endpoints: Watch polls the endpoints and
// exchanges sightings with other daemons, ListedEndpoints follows the platform's
// list of endpoints.
//
// Both merge sources that lag behind the endpoint: load reports, the platform's
// list, the daemon's own traffic and, for Watch, what other daemons report. Once
// any source says that an endpoint is leaving, it counts as leaving until it
// restarts under a new incarnation. The state of one endpoint is a state machine
// without I/O.
package watch
