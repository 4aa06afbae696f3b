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
	MemberDead = define(3101, log.WarnLevel, "member dead",
		"Another daemon said goodbye, refused connections or did not answer in time; its requests are taken over.",
		"Nothing; if its VM should be up, look at that daemon's log and at the network between.")
	MembershipFence = define(3102, log.WarnLevel, "membership fence changed",
		"This daemon did not run for a while or was believed dead; while fenced it delivers nothing as a holder.",
		"Nothing for single cases; repeated pauses show a VM that is starved of processor time.")
)
