package chicoryhall

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/digest"
)

// RequestRecord is everything that a daemon needs to run a request or to continue it after another
// daemon. Prompt and MaxTokens are for pipeline services, Operation and Body for plain ones. Only
// requests to pipeline services are replicated and continued by other daemons.
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
	// Async means that the caller fetches the answer later.
	Async       bool      `json:"async,omitempty"`
	Deadline    time.Time `json:"deadline"`
	TraceParent string    `json:"traceParent,omitempty"`
	// Attempt is the number of the latest attempt that may have started, or 0 if none has. A daemon
	// counts up from 1; one that takes over the request continues with a number higher than any that
	// the earlier daemon has used (see package holder).
	Attempt int `json:"attempt"`
	// Tokens are the tokens of the answer that may have reached the caller.
	Tokens []digest.Token `json:"tokens,omitempty"`
	// Finished means that Outcome is valid.
	Finished bool    `json:"finished"`
	Outcome  Outcome `json:"outcome"`
}

// Replicator copies the state of accepted requests to a second daemon, the backup, so that it can
// continue them if the daemon that accepted them fails. It does not run requests.
type Replicator interface {
	// Accept returns nil once the backup, a daemon on another VM, has a copy of the record, or if
	// the request may run without a backup. On an error the request must not run.
	Accept(ctx context.Context, record RequestRecord) error
	// RaiseAttempt returns nil once the backup has the new attempt number. It is called before the
	// first byte of the attempt is sent to an endpoint. On an error the backup may or may not have
	// the number; ErrTakenOver means that another daemon has taken over the request.
	RaiseAttempt(ctx context.Context, id RequestID, attempt int) error
	// AppendTokens copies the tokens that begin at the given position of the answer. It calls
	// release once they may be sent to the caller, or with ErrTakenOver if another daemon has taken
	// over the request.
	AppendTokens(id RequestID, position int, tokens []digest.Token, release func(error))
	// Finish copies the outcome, so that the caller can still fetch it, and ends the replication of
	// the request.
	Finish(id RequestID, outcome Outcome)
}

// ErrTakenOver means that another daemon has taken over the request.
var ErrTakenOver = errors.New("another daemon has taken over the request")

// Result is how a request ended.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Reason says why there is no answer, as spelled in problem documents, or is empty.
	Reason string `json:"reason,omitempty"`
	// RetryAfter is how long the caller should wait before it repeats the request, or 0 if a repeat
	// does not help.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Body is the answer of a plain service or, if admission refused the request, a sentence that
	// tells the caller why.
	Body string `json:"body,omitempty"`
}

// Follower receives the progress of a request. Its methods are called one at a time.
type Follower interface {
	// OnAccepted is called when Replicator.Accept has succeeded, so that the request will end with
	// an outcome. It is not called for requests to plain services, which are not replicated.
	OnAccepted()
	// OnTokens is called with the tokens that begin at the given position of the answer. They follow
	// the earlier ones without a gap, except when another daemon has taken over the request: then
	// the tokens start again from position 0 and may differ from those given before.
	OnTokens(position int, tokens []digest.Token)
	// OnFinish is called last, with the result.
	OnFinish(result Result)
}

// Requests are the requests that this daemon runs or has recently finished. Follow and Cancel get
// the organisation that asks; a request of another organisation is treated as unknown.
type Requests interface {
	// Follow reports the progress of a request, from the given position of the answer on, until
	// stop is called. It returns false if the request is unknown to this daemon.
	Follow(id RequestID, organisation Organisation, position int, follower Follower) (stop func(), found bool)
	// Cancel ends a request; it returns false if the request is unknown to this daemon.
	Cancel(id RequestID, organisation Organisation) bool
	// Resume continues a request that this daemon has taken over from another one. The attempt
	// number in the record is already higher than any that the other daemon has used.
	Resume(record RequestRecord) error
}

// RemoteRequests gives access to the requests of other daemons.
type RemoteRequests interface {
	// Follow is Requests.Follow at the daemon that runs the request. It returns false if no daemon
	// is known to run it.
	Follow(ctx context.Context, id RequestID, organisation Organisation, position int, follower Follower) (stop func(), found bool)
	// Cancel is Requests.Cancel at the daemon that runs the request. It returns false if no daemon
	// is known to run it.
	Cancel(ctx context.Context, id RequestID, organisation Organisation) bool
}

// ClaimState is the result of claiming the idempotency key of a request that may run at most once.
type ClaimState int

//go:generate go tool enumer -type=ClaimState -json -text -transform=lower -trimprefix=Claim -output=claimstate_enumer.go

// The results of a claim.
const (
	// ClaimOurs means that the key was claimed for this daemon's request, which may be sent, once.
	ClaimOurs ClaimState = iota
	// ClaimTaken means that the key was claimed earlier and no outcome is stored: that request may
	// be running, or may have run without a known outcome.
	ClaimTaken
	// ClaimDone means that the key was claimed earlier and the outcome is stored.
	ClaimDone
)

// ClaimResult is the result of an attempt to claim an idempotency key.
type ClaimResult struct {
	State ClaimState
	// Answer is the stored answer when State is ClaimDone.
	Answer string
	// Fingerprint identifies the content of the request that holds the key.
	Fingerprint string
}

// Claims makes sure that a request that is not idempotent runs at most once.
type Claims interface {
	// Claim inserts the key into the table. On an error the key may or may not have been inserted,
	// and the request must not be sent.
	Claim(ctx context.Context, organisation Organisation, service ServiceName, key, fingerprint string) (ClaimResult, error)
	// Record stores the answer of a request whose claim belongs to this daemon.
	Record(ctx context.Context, organisation Organisation, service ServiceName, key, answer string) error
	// Release gives up a claim of this daemon whose request certainly did not run, so that a repeat
	// with the same key may run.
	Release(ctx context.Context, organisation Organisation, service ServiceName, key string) error
}

// AdmissionQuery asks whether a request may start.
type AdmissionQuery struct {
	Service      ServiceName
	Class        ClassName
	Organisation Organisation
	Deadline     time.Time
	// ExpectedDuration is the time that the request is expected to take once started.
	ExpectedDuration time.Duration
	// Tokens is the number of tokens to process, as far as it is known. It is the cost of the
	// request when a service is divided among organisations by their DocumentOrganisation.Share.
	Tokens int
	// MaxWait is the longest time to wait for admission, or 0 if only the deadline limits it.
	MaxWait time.Duration
}

// Admission decides whether requests start at once, wait or are rejected.
type Admission interface {
	// Acquire calls exactly one of start and refuse, once. It calls start, at once or later, when
	// the request may run. It calls refuse with the time after which a retry may succeed and with a
	// sentence for the caller.
	Acquire(query AdmissionQuery, start func(Permit), refuse func(retryAfter time.Duration, reason string))
}

// Permit is the right to run one request.
type Permit interface {
	// Release returns the permit; further calls have no effect.
	Release()
}
