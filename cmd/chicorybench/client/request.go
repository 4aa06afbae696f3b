package client

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/caller"
	"chicoryhall.example/chicoryhall/digest"
)

//go:generate go tool enumer -type=Ending -json -text -transform=kebab -trimprefix=Ended -output=ending_enumer.go

// Ending is how a request ended from the client's point of view.
type Ending int

// The endings of a request.
const (
	// EndedAnswered means that the answer was received up to its end. Package verify checks that it is complete and correct.
	EndedAnswered Ending = iota
	// EndedNotRun means that the daemon reported that the request was not run.
	EndedNotRun
	// EndedUnknown means that the daemon reported an error and that the request may have run, or reported an error
	// without saying whether the request ran.
	EndedUnknown
	// EndedLost means that neither an answer nor a Problem was received by the deadline plus deadlineGrace, or before the
	// run was cancelled.
	EndedLost
	// EndedRejected means that the daemon rejected the request as invalid or not permitted.
	EndedRejected
)

// Request is a request to send.
type Request struct {
	Service        chicoryhall.ServiceName
	BearerToken    string
	IdempotencyKey string
	Timeout        time.Duration
	// Streamed is set for pipeline services, whose answers are streams of tokens. The client does not read it, as it
	// decides by the Content-Type of the response; it tells package verify how to check the answer.
	Streamed   bool
	Submission caller.Submission
}

// TokenPause is a period longer than minRecordedPause between two tokens of an answer.
type TokenPause struct {
	From time.Time
	To   time.Time
}

// Exchange records what the client received for one request.
type Exchange struct {
	// IDs are the IDs that daemons gave the request, in responses or in Problems. There are several if the request was
	// submitted again because no daemon knew it any more. An ID can appear twice.
	IDs    []chicoryhall.RequestID
	Ending Ending
	// Detail is the daemon's reason if the request was not answered.
	Detail   string
	Started  time.Time
	Finished time.Time
	// FirstToken is the time to the first token, or to the answer of a plain service. FirstToken, TokenIntervals and
	// Pauses include tokens that were discarded when the answer was started again.
	FirstToken     time.Duration
	TokenIntervals []time.Duration // times between consecutive tokens
	Pauses         []TokenPause
	Tokens         []digest.Token
	Body           string
	// Repeated counts tokens received more than once.
	Repeated int
	// Skipped counts the faults in the sequence of token events: each gap, of one or more tokens, each event that could
	// not be decoded, and an end event whose number of tokens differs from the number received.
	Skipped int
	// ResumeAttempts counts the HTTP requests sent to continue the answer over a new connection.
	ResumeAttempts int
	// Restarted counts how often the answer was started again from the beginning.
	Restarted int
	// HasRetryAfter is set if the request was not answered and the daemon stated a time after which to retry.
	HasRetryAfter bool
}
