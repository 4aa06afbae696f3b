package chicoryhall

import (
	"net/http"
	"time"
)

// CallerHeaders is what a caller's headers say about its request.
type CallerHeaders struct {
	ID         RequestID
	Credential string
	// MaxWait is how long the caller waits, or 0 where it does not say.
	MaxWait time.Duration
	// PromptTokens and AnswerTokens are the sizes that the caller states, or 0.
	PromptTokens int
	AnswerTokens int
	// LastEvent is the event behind which a stream goes on, or empty.
	LastEvent string
}

// EndpointHeaders is what the daemon tells an endpoint beside the caller's request.
type EndpointHeaders struct {
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// Endpoint is the one that is meant; another one at its address refuses.
	Endpoint     EndpointID
	Organisation Organisation
	// Hops are the stages of a pipeline, none for a plain service.
	Hops []Hop
	// LastEvent is the event behind which the stream goes on, or empty.
	LastEvent string
}

// AnswerHeaders is what an endpoint's answer says beside its status and body.
type AnswerHeaders struct {
	// NotRun tells that the endpoint did not run the request and never will.
	NotRun bool
	// RequestID is the request that the answer belongs to, or empty where it does not tell.
	RequestID RequestID
	// FailedAddress is the address of the endpoint that refused or failed, where another one tells, or empty.
	FailedAddress string
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
	// ParseCaller reads a caller's headers.
	ParseCaller(header http.Header) (CallerHeaders, error)
	// Forward makes a caller's headers those of the endpoint.
	Forward(header http.Header, terms EndpointHeaders) http.Header
	// ParseAnswer reads the headers of an endpoint's answer.
	ParseAnswer(response *http.Response) AnswerHeaders
}
