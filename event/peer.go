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
)
