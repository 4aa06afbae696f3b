// Package holder replicates accepted requests, so that they survive the daemon that accepted them.
// It implements chicoryhall.Replicator and chicoryhall.RemoteRequests.
//
// The owner of a request is the daemon that runs it. Another daemon of the same failure domain, the
// backup, has a replica; owner and backup are the holders of the request. A request is accepted only
// when the backup has the replica, and a token is sent to the caller only when the backup has it.
// If the failure domain has no other daemon, synchronous requests run without a backup and
// asynchronous ones are refused.
//
// When membership declares the owner dead, the backup claims the request at all other daemons of
// the failure domain. When all have agreed, it is the owner: it increases the term and the attempt
// number, chooses a backup of its own and continues the request. The term is the number of owners
// that a request has had, the generation the number of backups. A daemon that knows a higher term
// refuses updates of an earlier owner. An owner that was paused while another daemon took over thus
// gets no confirmation from a backup and delivers nothing more.
//
// State makes all decisions and does no I/O: its methods take inputs and return actions. Replicator
// drives it and exchanges messages over package peer.
//
// A caller can ask any daemon for the progress of a request. The daemon follows it at its owner
// through a relay, which searches for the new owner when the request is taken over.
package holder
