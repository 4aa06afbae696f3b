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
	// EndedAnswered means that a complete answer was received.
	EndedAnswered Ending = iota
	// EndedNotRun means that the daemon reported that the request was not run.
	EndedNotRun
	// EndedUnknown means that the daemon reported that the request may have run, or no outcome.
	EndedUnknown
	// EndedLost means that neither an answer nor a Problem was received by the deadline plus deadlineGrace.
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
	// Streamed is set for pipeline services, whose answers are streams of tokens.
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
	// IDs are the IDs that daemons gave the request. There are several only if the request was submitted again
	// because no daemon knew it any more.
	IDs    []chicoryhall.RequestID
	Ending Ending
	// Detail is the daemon's reason if the request was not answered.
	Detail   string
	Started  time.Time
	Finished time.Time
	// FirstToken is the time to the first token, or to the answer of a plain service.
	FirstToken     time.Duration
	TokenIntervals []time.Duration // times between consecutive tokens
	Pauses         []TokenPause
	Tokens         []digest.Token
	Body           string
	// Repeated counts tokens received more than once.
	Repeated int
	// Skipped counts how often token events were missing or could not be decoded, and a total that differs from the
	// number of tokens received.
	Skipped int
	// ResumeAttempts counts the HTTP requests sent to continue the answer over a new connection.
	ResumeAttempts int
	// Restarted counts how often the answer was started again from the beginning.
	Restarted int
	// HasRetryAfter is set if the request was not answered and the daemon stated a time after which to retry.
	HasRetryAfter bool
}
