package chicoryhall

import (
	"net/http"
	"time"
)

// CallerTerms is what a caller's headers say about its request.
type CallerTerms struct {
	ID         RequestID
	Credential string
	// Patience is how long the caller waits, or 0 where it does not say.
	Patience time.Duration
	// PromptTokens and AnswerTokens are the sizes that the caller states, or 0.
	PromptTokens int
	AnswerTokens int
	// LastEvent is the event behind which a stream goes on, or empty.
	LastEvent string
}

// EndpointTerms is what the daemon tells an endpoint beside the caller's request.
type EndpointTerms struct {
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// Endpoint is the one that is meant; another one at its address refuses.
	Endpoint     EngineID
	Organisation Organisation
	// Hops are the stages of a pipeline, none for a plain service.
	Hops []Hop
	// LastEvent is the event behind which the stream goes on, or empty.
	LastEvent string
}

// AnswerTerms is what an endpoint's answer says beside its status and body.
type AnswerTerms struct {
	// NotRun tells that the endpoint did not run the request and never will.
	NotRun bool
	// RequestID is the request that the answer belongs to, or empty where it does not tell.
	RequestID RequestID
	// Fault is the address of the endpoint that refused or failed, where another one tells, or empty.
	Fault string
	// Running is the number of requests at the endpoint, or -1 where it does not tell; Waiting is how
	// many of them have not begun.
	Running int
	Waiting int
	// Unsigned tells that a success lacks the signature that whole answers carry.
	Unsigned bool
	// Misdirected tells that another endpoint answers at the address, or that layers are missing there.
	Misdirected bool
}

// Dialect reads and writes the headers that callers and endpoints use.
type Dialect interface {
	// Caller reads a caller's headers.
	Caller(header http.Header) (CallerTerms, error)
	// Forward makes a caller's headers those of the endpoint.
	Forward(header http.Header, terms EndpointTerms) http.Header
	// Answer reads the headers of an endpoint's answer.
	Answer(response *http.Response) AnswerTerms
}
