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
	// EndedUnknown means that the daemon reported that the request may have run.
	EndedUnknown
	// EndedLost means that no final answer was received before the deadline.
	EndedLost
	// EndedRejected means that the daemon rejected the request as invalid.
	EndedRejected
)

// Request is a request to send.
type Request struct {
	Service    chicoryhall.ServiceName
	Token      string
	Key        string
	Timeout    time.Duration
	Streamed   bool
	Submission caller.Submission
}

// Pause is a period without tokens during an answer.
type Pause struct {
	From time.Time
	To   time.Time
}

// Exchange records what the client received for one request.
type Exchange struct {
	// IDs are the IDs that daemons gave the request. There are several only if it was lost and submitted again.
	IDs    []chicoryhall.RequestID
	Ending Ending
	// Detail is the daemon's reason if the request was not answered.
	Detail   string
	Started  time.Time
	Finished time.Time
	// FirstToken is the time to the first token, or to the answer of a plain service.
	FirstToken time.Duration
	Gaps       []time.Duration // times between consecutive tokens
	Pauses     []Pause
	Tokens     []digest.Token
	Body       string
	// Repeated counts tokens received more than once, Skipped the gaps in the tokens' positions.
	Repeated int
	Skipped  int
	// Resumed counts how often the answer was continued over a new connection, Restarted how often it started from the
	// beginning.
	Resumed   int
	Restarted int
	// RetryAfter is set if a refusal stated a time to retry after.
	RetryAfter bool
}
