package event

import "github.com/charmbracelet/log"

// The events of peers and membership, 3000 to 3999.
var (
	PeerProtocolError = define(3000, log.WarnLevel, "peer protocol error",
		"A connection between daemons was closed because it carried data that is not a valid message.",
		"Check that both ends run the same version and that nothing else uses the peers' port.")
	PeerConnectionSilent = define(3001, log.WarnLevel, "peer connection silent",
		"An open connection to a peer stopped responding and was replaced by a new one.",
		"Nothing for single cases; check the network between the two VMs if it repeats.")
	MemberChanged = define(3100, log.InfoLevel, "member changed",
		"Another daemon joined, announced that it is leaving, was suspected of being down, or refuted such a suspicion.",
		"Nothing for single cases; many suspicions at once indicate a slow network or an overloaded VM.")
	MemberRowChanged = define(3110, log.InfoLevel, "member row changed",
		"A daemon's row in the platform's store is new or has changed, or is no longer updated, which means that the daemon is down; state says which.", "Nothing.")
	NeighbourChosen = define(3120, log.InfoLevel, "source of copies chosen",
		"From now on, this daemon gets the rows of the platform's store from the neighbour that source names, or from the store itself if source is empty.",
		"Nothing for single cases; if it changes often, check the network between the VMs of the failure domain and the neighbour's VM.")
	MemberDead = define(3101, log.WarnLevel, "member dead",
		"Another daemon announced its exit, refused connections or did not answer in time; other daemons take over its requests.",
		"Nothing; if its VM should be up, check that daemon's log and the network in between.")
	MembershipFenceChanged = define(3102, log.WarnLevel, "membership fence changed",
		"fenced is true after this daemon was paused or was believed dead: other daemons may have taken over its requests, so it sends their callers nothing until fenced is false again.",
		"Nothing for single cases; repeated pauses indicate a VM that is starved of processor time.")
	RequestTakenOver = define(3200, log.InfoLevel, "request taken over",
		"The daemon that ran the request failed or handed it over; this one continues it from the tokens it has.",
		"Nothing; event 3101 names the failed daemon.")
	RequestHasNoBackup = define(3201, log.WarnLevel, "request has no backup",
		"No other daemon of the failure domain can be the request's backup, which holds a copy to take it over; the request is lost if this daemon fails.",
		"Start more daemons in this failure domain, on other VMs.")
	RequestNotResumed = define(3202, log.ErrorLevel, "request not resumed",
		"A request was taken over but could not be continued; its caller is told that the outcome is unknown.",
		"Check that the service's document is in force on this daemon.")
	RequestsNotHandedOver = define(3203, log.WarnLevel, "requests not handed over",
		"This daemon stops while it still owns some requests; their backups take over once they detect its exit.",
		"Increase drainTimeout if it repeats.")
	RequestOwnerNotFound = define(3204, log.WarnLevel, "request owner not found",
		"A caller reads an answer through this daemon, but no daemon owns the request any more; the caller is told that the outcome is unknown.",
		"Look for event 3101: a request is lost if its owner and its backup fail at the same time.")
)
