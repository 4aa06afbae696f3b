package caller

import (
	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
)

// The headers, media types, preferences and events of the interface.
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

// Submission is the JSON body of a request that is submitted. (A requests.Submission is made from it
// once it has passed the checks.)
type Submission struct {
	Class chicoryhall.ClassName `json:"class"`
	// Prompt and MaxTokens are for pipeline services.
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"maxTokens,omitempty"`
	// Operation and Body are for plain services.
	Operation string `json:"operation,omitempty"`
	Body      string `json:"body,omitempty"`
}

// TokenEvent is the data of an event with a token. The event's ID contains the token's position.
type TokenEvent struct {
	Token digest.Token `json:"token"`
}

// End is the data of the event that ends a complete answer.
type End struct {
	Tokens int `json:"tokens"`
}

// Answer is the body of the complete answer to a request that is not streamed.
type Answer struct {
	Request chicoryhall.RequestID `json:"request"`
	Outcome chicoryhall.Outcome   `json:"outcome"`
	Tokens  []digest.Token        `json:"tokens,omitempty"`
	Body    string                `json:"body,omitempty"`
}

// Pending is the body of the answer while the request has not finished. Position is the number of
// tokens so far.
type Pending struct {
	Request  chicoryhall.RequestID `json:"request"`
	Position int                   `json:"position"`
}

// Problem is the body of every refusal and failure (RFC 9457).
type Problem struct {
	Type    string                `json:"type"`
	Title   string                `json:"title"`
	Status  int                   `json:"status"`
	Detail  string                `json:"detail"`
	Field   string                `json:"field,omitempty"`
	Outcome chicoryhall.Outcome   `json:"outcome"`
	Request chicoryhall.RequestID `json:"request,omitempty"`
	// RetryAfterSeconds has the value of the Retry-After header, or is 0.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
}
