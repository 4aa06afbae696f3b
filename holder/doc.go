// Package holder replicates accepted requests, so that they survive the daemon that accepted them.
// It implements chicoryhall.Replicator and chicoryhall.RemoteRequests.
//
// The owner of a request is the daemon that runs it. Before a request is accepted, a second daemon
// of the same failure domain, the backup, must have a replica of it. No token is sent to the caller
// before the backup has it. When membership declares the owner dead, the backup claims the request
// at all other daemons of the failure domain, increases the term and the attempt number, chooses a
// backup of its own and continues the request.
//
// The term counts the owners that a request has had, the generation its backups. A daemon that
// knows a higher term refuses an earlier owner. An owner that was frozen and wakes up therefore
// delivers nothing more.
//
// State makes all decisions and does no I/O: its methods take inputs and return actions. Replicator
// drives it and exchanges messages over package peer.
package holder
