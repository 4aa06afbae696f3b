package chicoryhall

import "context"

//go:generate go tool enumer -type=MemberState -json -text -transform=lower -trimprefix=Member -output=memberstate_enumer.go

// MemberState is the state of a daemon as its peers see it.
type MemberState int

// The states of a daemon.
const (
	// MemberAlive means that the daemon answers the heartbeats of its peers.
	MemberAlive MemberState = iota
	// MemberSuspect means that the daemon missed heartbeats and may still refute the suspicion.
	MemberSuspect
	// MemberLeaving means that the daemon is shutting down gracefully; it may still answer.
	MemberLeaving
	// MemberDead means that the daemon has shut down or did not refute the suspicion in time.
	MemberDead
)

// Member is one daemon as its peers know it.
type Member struct {
	ID            DaemonID      `json:"id"`
	Region        Region        `json:"region"`
	FailureDomain FailureDomain `json:"failureDomain"`
	// PeerAddress is the daemon's address for its peers, CallerAddress the one for callers.
	PeerAddress   string `json:"peerAddress"`
	CallerAddress string `json:"callerAddress"`
	// NeighbourAddress is the daemon's address for the daemons of its failure domain that share what they read. It is empty if
	// the daemon shares nothing.
	NeighbourAddress string `json:"neighbourAddress,omitempty"`
	// CPUShare is the part of a processor that the daemon may use, or 0 if it is not known.
	CPUShare float64 `json:"cpuShare,omitempty"`
	// PeerKey is the secret that peers without TLS show to this daemon; it is empty if there is none.
	PeerKey string `json:"peerKey,omitempty"`
	// Incarnation is a number that increases when the daemon restarts or refutes a suspicion.
	Incarnation int64 `json:"incarnation"`
	// StartIncarnation is the incarnation with which the process started. It tells processes of the
	// same daemon apart: a restarted one has lost the requests that the earlier one held.
	StartIncarnation int64       `json:"run"`
	State            MemberState `json:"state"`
}

// Members gives the state of all daemons as this daemon sees it.
type Members interface {
	// Self returns this daemon's own entry.
	Self() Member
	// Others returns every known daemon but this one, ordered by ID.
	Others() []Member
	// Subscribe calls changed for each entry that changes from now on.
	Subscribe(changed func(Member))
}

// Peers calls other daemons.
type Peers interface {
	// Call sends one request to a daemon and decodes its answer into result.
	Call(ctx context.Context, to DaemonID, method string, params, result any) error
}
