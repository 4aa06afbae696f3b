package membership

import "chicoryhall.example/chicoryhall"

// ProbeNumber names one probe of this daemon.
type ProbeNumber uint64

// Packet is what probes and their answers carry.
type Packet struct {
	// Incarnation is the sender's own.
	Incarnation int64
	// Digest is over the entries that the sender believes alive or leaving.
	Digest uint64
	// Unknown tells the receiver that the sender has no entry for it.
	Unknown bool
	// Died is the receiver's newest incarnation that the sender believed dead, or 0.
	Died int64
	// Updates are entries that changed lately.
	Updates []chicoryhall.Member
}

// Action is what a State asks its driver to do.
type Action interface{ isAction() }

// SendProbe asks a peer for a sign of life; answer with Acked or Failed.
type SendProbe struct {
	Probe   ProbeNumber
	To      chicoryhall.DaemonID
	Address string
	Packet  Packet
}

// SendIndirect asks a peer to probe another one; answer with Acked when it succeeds.
type SendIndirect struct {
	Probe         ProbeNumber
	Via           chicoryhall.DaemonID
	Target        chicoryhall.DaemonID
	TargetAddress string
	Packet        Packet
}

// SendSync exchanges all entries with whoever listens at an address; answer with Synced.
type SendSync struct {
	Address string
	Members []chicoryhall.Member
}

// Changed tells of an entry that changed.
type Changed struct{ Member chicoryhall.Member }

// FenceChanged tells whether this daemon must stop acting as a holder until it is refreshed.
type FenceChanged struct {
	Fenced bool
	Reason FenceReason
}

//go:generate go tool enumer -type=FenceReason -text -transform=kebab -trimprefix=Fence -output=fencereason_enumer.go

// FenceReason tells why a daemon was fenced.
type FenceReason int

// The reasons for which a daemon is fenced.
const (
	// FenceNone means that the daemon is not fenced.
	FenceNone FenceReason = iota
	// FencePaused means that the daemon did not run for a while.
	FencePaused
	// FenceDeclaredDead means that a peer believed the daemon dead.
	FenceDeclaredDead
)

func (SendProbe) isAction()    {}
func (SendIndirect) isAction() {}
func (SendSync) isAction()     {}
func (Changed) isAction()      {}
func (FenceChanged) isAction() {}
