package caller

import (
	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
)

// The names of the headers and media types of the interface.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestTimeout = "Request-Timeout"
	HeaderRequestID      = "Request-Id"
	HeaderLastEventID    = "Last-Event-ID"
	HeaderTraceParent    = "traceparent"
	MediaTypeEvents      = "text/event-stream"
	MediaTypeProblem     = "application/problem+json"
	MediaTypeJSON        = "application/json"
	PreferAsync          = "respond-async"
	EventEnd             = "end"
	EventError           = "error"
)

// Submission is the body of a request.
type Submission struct {
	Class chicoryhall.ClassName `json:"class"`
	// Prompt and MaxTokens are for pipeline services.
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"maxTokens,omitempty"`
	// Operation and Body are for plain services.
	Operation string `json:"operation,omitempty"`
	Body      string `json:"body,omitempty"`
}

// TokenEvent is the data of one server-sent event; the event's id is the position.
type TokenEvent struct {
	Token digest.Token `json:"token"`
}

// End is the data of the event that closes a whole answer.
type End struct {
	Tokens int `json:"tokens"`
}

// Answer is the body of a fetched or plain answer.
type Answer struct {
	Request chicoryhall.RequestID `json:"request"`
	Outcome chicoryhall.Outcome   `json:"outcome"`
	Tokens  []digest.Token        `json:"tokens,omitempty"`
	Body    string                `json:"body,omitempty"`
}

// Pending is the body of an accepted request that is not finished.
type Pending struct {
	Request  chicoryhall.RequestID `json:"request"`
	Position int                   `json:"position"`
}

// Problem is the body of every refusal and failure.
type Problem struct {
	Type    string                `json:"type"`
	Title   string                `json:"title"`
	Status  int                   `json:"status"`
	Detail  string                `json:"detail"`
	Field   string                `json:"field,omitempty"`
	Outcome chicoryhall.Outcome   `json:"outcome"`
	Request chicoryhall.RequestID `json:"request,omitempty"`
	// RetryAfterSeconds repeats the Retry-After header, or is 0.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
}
