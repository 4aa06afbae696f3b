package router

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/caller"
	"chicoryhall.example/chicoryhall/digest"
)

//go:generate go tool enumer -type=Ending -json -text -transform=kebab -trimprefix=Ended -output=ending_enumer.go

// Ending is how a request ended for its caller.
type Ending int

// The endings of a request.
const (
	// EndedAnswered means that a whole answer came.
	EndedAnswered Ending = iota
	// EndedNotRun means that the router said that the request was not run.
	EndedNotRun
	// EndedUnknown means that the router said that the request may have run.
	EndedUnknown
	// EndedLost means that no final answer came before the deadline.
	EndedLost
	// EndedRejected means that the router refused the request as faulty.
	EndedRejected
)

// Request is what one caller wants.
type Request struct {
	Service    chicoryhall.ServiceName
	Token      string
	Key        string
	Timeout    time.Duration
	Streamed   bool
	Submission caller.Submission
}

// Pause is a time without tokens in a running answer.
type Pause struct {
	From time.Time
	To   time.Time
}

// Exchange is what the caller saw of one request.
type Exchange struct {
	// IDs are the request ids that the router gave, one unless it lost the request.
	IDs    []chicoryhall.RequestID
	Ending Ending
	// Detail is the router's own reason when the request was not answered.
	Detail   string
	Started  time.Time
	Finished time.Time
	// FirstToken is the time to the first token or to the plain answer.
	FirstToken time.Duration
	Gaps       []time.Duration
	Pauses     []Pause
	Tokens     []digest.Token
	Body       string
	// Repeated counts tokens that came again, Skipped tokens that came too early.
	Repeated int
	Skipped  int
	// Resumed counts answers continued at another connection, Restarted those begun anew.
	Resumed   int
	Restarted int
	// RetryAfter tells that a refusal named a time to come back.
	RetryAfter bool
}
