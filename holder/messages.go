package holder

import (
	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
)

// Handle names a request between its home and the second holder.
type Handle uint64

// Update brings a replica up to date.
type Update struct {
	Handle Handle
	// Term and Generation are those of the home.
	Term       int64
	Generation int64
	// Record is the whole request, or nil when the second holder has it already.
	Record *chicoryhall.RequestRecord
	// Attempt is the highest attempt started so far.
	Attempt int
	// Position is that of the first of Tokens.
	Position int
	Tokens   []digest.Token
	// Finished tells that Outcome is final.
	Finished bool
	Outcome  chicoryhall.Outcome
	// Drop tells that another daemon has become the second holder.
	Drop bool
	// HandOver asks the second holder to become the home.
	HandOver bool
}

// Batch is what a home sends to one second holder at a time.
type Batch struct {
	// StartIncarnation is the home's.
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
	// ReplyReplaced means that another daemon owns the request now.
	ReplyReplaced
	// ReplyIncomplete means that the replica needs the whole record.
	ReplyIncomplete
)

// TakeoverClaim tells the daemons of a failure domain that a second holder becomes the home.
type TakeoverClaim struct {
	ID chicoryhall.RequestID `json:"id"`
	// Term is the one that the claimer wants to begin.
	Term int64 `json:"term"`
	// Generation is that of the claimer's replica.
	Generation int64 `json:"generation"`
	// KeepMillis is how long the claim is to be remembered.
	KeepMillis int64 `json:"keepMillis"`
}

// Action is what a State asks its driver to do.
type Action interface{ isAction() }

// SendBatch sends a batch to a second holder; answer with BatchAnswered or BatchFailed.
type SendBatch struct {
	To     chicoryhall.DaemonID
	Number uint64
	Batch  Batch
}

// SendClaims sends claims to a daemon of the failure domain; answer with ClaimsAnswered or ClaimsFailed.
type SendClaims struct {
	To     chicoryhall.DaemonID
	Claims []TakeoverClaim
}

// Accepted tells that a request is held by a second daemon, or why not.
type Accepted struct {
	ID  chicoryhall.RequestID
	Err error
}

// AttemptRaised tells that the second holder knows of an attempt, or that the home was replaced.
type AttemptRaised struct {
	ID      chicoryhall.RequestID
	Attempt int
	Err     error
}

// TokensReleased tells that tokens before End may reach the caller, or that the home was replaced.
type TokensReleased struct {
	ID  chicoryhall.RequestID
	End int
	Err error
}

// Resume goes on with a request whose home was lost.
type Resume struct{ Record chicoryhall.RequestRecord }

// NoBackup tells that a request has no second holder now.
type NoBackup struct{ ID chicoryhall.RequestID }

func (SendBatch) isAction()      {}
func (SendClaims) isAction()     {}
func (Accepted) isAction()       {}
func (AttemptRaised) isAction()  {}
func (TokensReleased) isAction() {}
func (Resume) isAction()         {}
func (NoBackup) isAction()       {}
