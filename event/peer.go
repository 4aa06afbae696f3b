package event

import "github.com/charmbracelet/log"

// The events of peers and membership, 3000 to 3999.
var (
	PeerProtocolError = define(3000, log.WarnLevel, "peer protocol error",
		"A connection between daemons carried something that is no message; it was closed.",
		"Check that both ends run the same version and that nothing else uses the peers' port.")
	PeerConnectionSilent = define(3001, log.WarnLevel, "peer connection silent",
		"An open connection to a peer stopped answering and was replaced by a new one.",
		"Nothing for single cases; look at the network between the two VMs if it repeats.")
	MemberChanged = define(3100, log.InfoLevel, "member changed",
		"Another daemon joined, left, was suspected or refuted a suspicion.",
		"Nothing for single cases; many suspicions at once show a slow network or an overloaded VM.")
	MemberListed = define(3110, log.InfoLevel, "member listed",
		"A daemon's row in the platform's table is new, has changed, or has stopped changing.", "Nothing.")
	MemberDead = define(3101, log.WarnLevel, "member dead",
		"Another daemon said goodbye, refused connections or did not answer in time; its requests are taken over.",
		"Nothing; if its VM should be up, look at that daemon's log and at the network between.")
	MembershipFence = define(3102, log.WarnLevel, "membership fence changed",
		"This daemon did not run for a while or was believed dead; while fenced it delivers nothing as a holder.",
		"Nothing for single cases; repeated pauses show a VM that is starved of processor time.")
	HolderTookOver = define(3200, log.InfoLevel, "request taken over",
		"The daemon that ran the request was lost or handed it over; this one goes on from the tokens it has.",
		"Nothing; event 3101 tells which daemon was lost.")
	HolderAlone = define(3201, log.WarnLevel, "request has one holder",
		"No other daemon of the failure domain can hold the request; it is lost if this daemon dies.",
		"Start more daemons in this failure domain, on other VMs.")
	HolderNotResumed = define(3202, log.ErrorLevel, "request not resumed",
		"A request was taken over and could not go on; its caller is told that the outcome is unknown.",
		"Check that the service's document is in force at this daemon.")
	HolderNotHandedOver = define(3203, log.WarnLevel, "requests not handed over",
		"This daemon stops while requests still have it as their home; their second holders notice its death.",
		"Raise drainTimeout if it repeats.")
	HolderNotFound = define(3204, log.WarnLevel, "holder not found",
		"No daemon was found that holds a request which a caller follows here; the outcome is unknown to the caller.",
		"Look for event 3101 of two daemons of one failure domain at the same time.")
)
