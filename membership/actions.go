package membership

import "chicoryhall.example/chicoryhall"

// ProbeNumber identifies one probe of this daemon; later probes have higher numbers.
type ProbeNumber uint64

// Packet is the content of a probe or of its answer.
type Packet struct {
	// Incarnation is the sender's incarnation.
	Incarnation int64
	// Digest is the combined hash of all the sender's entries that are not dead.
	Digest uint64
	// ReceiverUnknown tells the receiver that the sender has no entry for it.
	ReceiverUnknown bool
	// DeadIncarnation is the receiver's newest incarnation that the sender believed dead, or 0.
	DeadIncarnation int64
	// Updates holds recently changed entries.
	Updates []chicoryhall.Member
}

// Action is an effect that a State asks its caller to carry out.
type Action interface{ isAction() }

// SendProbe asks for a probe of a peer; report the result with Acked or ProbeFailed.
type SendProbe struct {
	Probe   ProbeNumber
	To      chicoryhall.DaemonID
	Address string
	Packet  Packet
}

// SendIndirect asks a peer, Via, to probe Target; report success with IndirectlyAcked. Via sends Packet to Target
// unchanged. The ReceiverUnknown and DeadIncarnation of Packet are about Via, although Target receives it.
type SendIndirect struct {
	Probe         ProbeNumber
	Via           chicoryhall.DaemonID
	Target        chicoryhall.DaemonID
	TargetAddress string
	Packet        Packet
}

// SendSync asks for a full sync with the daemon at an address; report the entries that it returns with
// HandleSyncAnswer.
type SendSync struct {
	Address string
	Members []chicoryhall.Member
}

// MemberChanged reports an entry that changed.
type MemberChanged struct{ Member chicoryhall.Member }

// FenceChanged reports that this daemon became fenced, and must stop acting as a holder, or is no longer fenced.
type FenceChanged struct {
	Fenced bool
	Reason FenceReason
}

//go:generate go tool enumer -type=FenceReason -text -transform=kebab -trimprefix=Fence -output=fencereason_enumer.go

// FenceReason is the reason for which a daemon is fenced.
type FenceReason int

// The reasons for which a daemon is fenced.
const (
	// FenceNone means that the daemon is not fenced.
	FenceNone FenceReason = iota
	// FencePaused means that the daemon did not run for a while.
	FencePaused
	// FenceDeclaredDead means that a peer declared the daemon dead.
	FenceDeclaredDead
)

func (SendProbe) isAction()     {}
func (SendIndirect) isAction()  {}
func (SendSync) isAction()      {}
func (MemberChanged) isAction() {}
func (FenceChanged) isAction()  {}
