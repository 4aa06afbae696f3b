package chicoryhall

import "context"

//go:generate go tool enumer -type=MemberState -json -text -transform=lower -trimprefix=Member -output=memberstate_enumer.go

// MemberState tells what is believed of a daemon.
type MemberState int

// The states of a daemon.
const (
	// MemberAlive answers its heartbeats.
	MemberAlive MemberState = iota
	// MemberSuspect has missed heartbeats and may still refute.
	MemberSuspect
	// MemberLeaving shuts down gracefully.
	MemberLeaving
	// MemberDead has not refuted in time or has left.
	MemberDead
)

// Member is one daemon as its peers know it.
type Member struct {
	ID            DaemonID      `json:"id"`
	Region        Region        `json:"region"`
	FailureDomain FailureDomain `json:"failureDomain"`
	// PeerAddress is where its peers reach it, CallerAddress where callers do.
	PeerAddress   string `json:"peerAddress"`
	CallerAddress string `json:"callerAddress"`
	// Incarnation grows when the daemon restarts or refutes a suspicion.
	Incarnation int64 `json:"incarnation"`
	// StartIncarnation is the incarnation with which the process started; a new run holds nothing of earlier ones.
	StartIncarnation int64       `json:"run"`
	State            MemberState `json:"state"`
}

// Members is the daemon's view of all daemons.
type Members interface {
	// Self returns this daemon's own entry.
	Self() Member
	// All returns every known daemon but this one, ordered by ID.
	All() []Member
	// Subscribe calls changed with each entry that changes.
	Subscribe(changed func(Member))
}

// Peers calls other daemons.
type Peers interface {
	// Call sends one request to a daemon and decodes its answer into result.
	Call(ctx context.Context, to DaemonID, method string, params, result any) error
}
