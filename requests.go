package chicoryhall

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/digest"
)

// RequestRecord is all that a daemon must know to go on with a request.
type RequestRecord struct {
	ID           RequestID    `json:"id"`
	Service      ServiceName  `json:"service"`
	Organisation Organisation `json:"organisation"`
	Class        ClassName    `json:"class"`
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string `json:"key,omitempty"`
	Prompt         string `json:"prompt,omitempty"`
	MaxTokens      int    `json:"maxTokens,omitempty"`
	Operation      string `json:"operation,omitempty"`
	Body           string `json:"body,omitempty"`
	// Async tells that the caller fetches the answer later.
	Async       bool      `json:"async,omitempty"`
	Deadline    time.Time `json:"deadline"`
	TraceParent string    `json:"traceParent,omitempty"`
	// Attempt is the highest attempt started so far.
	Attempt int `json:"attempt"`
	// Tokens are those that may have reached the caller.
	Tokens []digest.Token `json:"tokens,omitempty"`
	// Finished tells that Outcome is final.
	Finished bool    `json:"finished"`
	Outcome  Outcome `json:"outcome"`
}

// Replicator keeps accepted requests alive beyond the daemon that accepted them.
type Replicator interface {
	// Accept returns once a daemon on another VM holds the record, or with an error.
	Accept(ctx context.Context, record RequestRecord) error
	// Attempt raises the attempt at the second holder before its first byte goes out.
	RaiseAttempt(ctx context.Context, id RequestID, attempt int) error
	// Tokens hands on tokens from position; release is called when they may reach the caller,
	// with an error when this daemon has been replaced as the holder.
	AppendTokens(id RequestID, position int, tokens []digest.Token, release func(error))
	// Finish records the outcome for later fetches and lets go of the request.
	Finish(id RequestID, outcome Outcome)
}

// ErrReplaced tells that another daemon has become the holder of a request.
var ErrReplaced = errors.New("another daemon holds the request")

// Result is how a request ended.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Reason names why there is no answer, as documents of problems spell it, or is empty.
	Reason string `json:"reason,omitempty"`
	// RetryAfter is the time to come back, or 0 where a repeat does not help.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Body is the answer of a plain service.
	Body string `json:"body,omitempty"`
}

// Follower is told what becomes of a request, call after call.
type Follower interface {
	// OnAccepted tells that the request is held and will end with an outcome.
	OnAccepted()
	// OnTokens gives tokens from position; they follow the ones before without a gap. When another
	// daemon has become the holder, tokens come again from position 0, and those that were given
	// before may differ.
	OnTokens(position int, tokens []digest.Token)
	// OnFinish is the last call.
	OnFinish(result Result)
}

// Requests are the requests that this daemon runs or has finished lately.
type Requests interface {
	// Follow tells follower of the request from position on; false means that it is not known here.
	Follow(id RequestID, organisation Organisation, position int, follower Follower) (stop func(), found bool)
	// Cancel ends a request; false means that it is not known here.
	Cancel(id RequestID, organisation Organisation) bool
	// Resume goes on with a request whose daemon was lost, with a raised attempt.
	Resume(record RequestRecord) error
}

// RemoteRequests reaches the requests of other daemons.
type RemoteRequests interface {
	// Follow asks the daemon that holds the request; false means that none is known to hold it.
	Follow(ctx context.Context, id RequestID, organisation Organisation, position int, follower Follower) (stop func(), found bool)
	// Cancel asks the daemon that holds the request; false means that none is known to hold it.
	Cancel(ctx context.Context, id RequestID, organisation Organisation) bool
}

// ClaimState is what the table knows of a request that may run at most once.
type ClaimState int

//go:generate go tool enumer -type=ClaimState -json -text -transform=lower -trimprefix=Claim -output=claimstate_enumer.go

// The states of a claim.
const (
	// ClaimOurs means that this daemon may send the request, once.
	ClaimOurs ClaimState = iota
	// ClaimTaken means that another try holds the claim without an outcome yet.
	ClaimTaken
	// ClaimDone means that the outcome is stored.
	ClaimDone
)

// ClaimResult is the answer to a claim.
type ClaimResult struct {
	State ClaimState
	// Answer is the stored body when State is ClaimDone.
	Answer string
	// Fingerprint is of the request that holds the key.
	Fingerprint string
}

// Claims lets a request that is not idempotent run at most once.
type Claims interface {
	// Claim inserts the key; an error means that nothing was claimed or that it cannot be known,
	// and that the request must not be sent.
	Claim(ctx context.Context, organisation Organisation, service ServiceName, key, fingerprint string) (ClaimResult, error)
	// Record stores the outcome of a claim that is ours.
	Record(ctx context.Context, organisation Organisation, service ServiceName, key, answer string) error
	// Release gives up a claim that is ours and whose request certainly did not run, so that a
	// repeat with the same key may.
	Release(ctx context.Context, organisation Organisation, service ServiceName, key string) error
}

// AdmissionQuery asks whether a request may start.
type AdmissionQuery struct {
	Service      ServiceName
	Class        ClassName
	Organisation Organisation
	Deadline     time.Time
	// ExpectedDuration is the time that the request needs once started.
	ExpectedDuration time.Duration
	// Tokens is the work asked for.
	Tokens int
	// MaxWait is the longest wait for a place, or 0 where only the deadline bounds it.
	MaxWait time.Duration
}

// Admission decides which requests start, wait or are shed.
type Admission interface {
	// Enter calls start at once or later when the request may run, or refuse with the time to
	// come back; exactly one of the two is called, once.
	Acquire(query AdmissionQuery, start func(Permit), refuse func(retryAfter time.Duration, reason string))
}

// Permit is the right to run one request.
type Permit interface {
	// Release gives the place back; it is idempotent.
	Release()
}
