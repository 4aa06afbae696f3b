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
	// Run is the home's.
	Run     int64
	Updates []Update
}

//go:generate go tool enumer -type=Verdict -text -transform=kebab -trimprefix=Verdict -output=verdict_enumer.go

// Verdict answers one Update or one Claim.
type Verdict int

// The verdicts of a second holder.
const (
	// VerdictTaken means that the replica is up to date, or that a claim is agreed to.
	VerdictTaken Verdict = iota
	// VerdictReplaced means that another daemon is the home now.
	VerdictReplaced
	// VerdictIncomplete means that the whole record is needed.
	VerdictIncomplete
)

// Claim tells the daemons of a failure domain that a second holder becomes the home.
type Claim struct {
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
	Claims []Claim
}

// Accepted tells that a request is held by a second daemon, or why not.
type Accepted struct {
	ID  chicoryhall.RequestID
	Err error
}

// Raised tells that the second holder knows of an attempt, or that the home was replaced.
type Raised struct {
	ID      chicoryhall.RequestID
	Attempt int
	Err     error
}

// Released tells that tokens before End may reach the caller, or that the home was replaced.
type Released struct {
	ID  chicoryhall.RequestID
	End int
	Err error
}

// Resume goes on with a request whose home was lost.
type Resume struct{ Record chicoryhall.RequestRecord }

// Alone tells that a request has no second holder now.
type Alone struct{ ID chicoryhall.RequestID }

func (SendBatch) isAction()  {}
func (SendClaims) isAction() {}
func (Accepted) isAction()   {}
func (Raised) isAction()     {}
func (Released) isAction()   {}
func (Resume) isAction()     {}
func (Alone) isAction()      {}
