package holder

import (
	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
)

// Handle identifies a request between its owner and the backup.
type Handle uint64

// Update brings a backup's replica up to date.
type Update struct {
	Handle Handle
	// Term counts the owners that the request has had, Generation the backups of this and earlier
	// owners.
	Term       int64
	Generation int64
	// Record is the whole request, or nil if the backup has it already.
	Record *chicoryhall.RequestRecord
	// Attempt is the number of the latest attempt started.
	Attempt int
	// Position is the position of the first of Tokens in the answer.
	Position int
	Tokens   []digest.Token
	// Finished means that Outcome is final.
	Finished bool
	Outcome  chicoryhall.Outcome
	// Drop means that the replica is no longer needed, because the request has another backup or
	// was abandoned.
	Drop bool
	// HandOver asks the backup to become the owner.
	HandOver bool
}

// Batch is what an owner sends to one backup in one call.
type Batch struct {
	// StartIncarnation is that of the owner; handles are valid only for one run of its process.
	StartIncarnation int64
	Updates          []Update
}

//go:generate go tool enumer -type=Reply -text -transform=kebab -trimprefix=Reply -linecomment -output=reply_enumer.go

// Reply answers one Update or one TakeoverClaim.
type Reply int

// The replies.
const (
	// ReplyAccepted means that the replica is up to date, or that the daemon agrees to a claim.
	ReplyAccepted Reply = iota // taken
	// ReplyReplaced means that another daemon owns the request, or that the claim or the update
	// comes too late because the request is being taken over or has finished.
	ReplyReplaced
	// ReplyIncomplete means that the update was not applied. Either the replica lacks what the update
	// builds on, and needs the whole record; or the replica has a later generation than the update,
	// whose sender has given it up.
	ReplyIncomplete
)

// TakeoverClaim asks a daemon of the failure domain to agree that the sender, a backup, becomes the
// owner of a request.
type TakeoverClaim struct {
	ID chicoryhall.RequestID `json:"id"`
	// Term is the new term that the sender wants to begin.
	Term int64 `json:"term"`
	// Generation is that of the sender's replica.
	Generation int64 `json:"generation"`
	// KeepMillis is how long the claim must be remembered.
	KeepMillis int64 `json:"keepMillis"`
}

// Action is something that a State asks its driver to do.
type Action interface{ isAction() }

// SendBatch sends a batch to a backup; the result is given to BatchAnswered or BatchFailed.
type SendBatch struct {
	To     chicoryhall.DaemonID
	Number uint64
	Batch  Batch
}

// SendClaims sends takeover claims to a daemon of the failure domain; the replies are given to
// ClaimsAnswered. The State sends claims again that get no reply.
type SendClaims struct {
	To     chicoryhall.DaemonID
	Claims []TakeoverClaim
}

// Accepted reports that a request is accepted, because its backup has it or because it runs without
// a backup, or why it cannot be accepted.
type Accepted struct {
	ID  chicoryhall.RequestID
	Err error
}

// AttemptRaised reports that an attempt may begin, because the backup has its number or because
// there is no backup, or that another daemon owns the request now.
type AttemptRaised struct {
	ID      chicoryhall.RequestID
	Attempt int
	Err     error
}

// TokensReleased reports that the tokens before End may reach the caller, or that another daemon
// owns the request now.
type TokensReleased struct {
	ID  chicoryhall.RequestID
	End int
	Err error
}

// Resume continues a request that this daemon has taken over.
type Resume struct{ Record chicoryhall.RequestRecord }

// NoBackup reports that a request has no backup.
type NoBackup struct{ ID chicoryhall.RequestID }

func (SendBatch) isAction()      {}
func (SendClaims) isAction()     {}
func (Accepted) isAction()       {}
func (AttemptRaised) isAction()  {}
func (TokensReleased) isAction() {}
func (Resume) isAction()         {}
func (NoBackup) isAction()       {}
