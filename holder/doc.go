// Package holder keeps accepted requests alive beyond the daemon that accepted
// them; it implements chicoryhall.Keeper and chicoryhall.Forwarder.
//
// The home of a request runs it. Before acceptance is told, a second daemon of
// the same failure domain holds a replica, and no token reaches the caller
// before the second holder has it. When membership declares the home dead, the
// second holder claims the request at every other daemon of the domain, raises
// the term and the attempt, finds a second holder of its own and goes on.
//
// State decides without I/O: inputs go in, actions come out. Keeper runs it over
// package peer. A term counts the homes that a request has had, a generation
// the second holders; whoever knows a higher term refuses the earlier home, so
// a home that was frozen delivers nothing once it wakes.
package holder
