package chicoryhall

import (
	"net/http"
	"time"
)

// CallerHeaders is the information that a caller's headers give about its request.
type CallerHeaders struct {
	ID         RequestID
	Credential string
	// Timeout is how long the caller waits for the answer, or 0 if it does not say.
	Timeout time.Duration
	// PromptTokens and AnswerTokens are the numbers of tokens that the caller expects, or 0 if it
	// does not say.
	PromptTokens int
	AnswerTokens int
	// LastEvent is the ID of the last event that the caller has; a stream resumes after it. It is
	// empty for a new stream.
	LastEvent string
	// SharedParts are the IDs of those parts of the prompt that other requests may share, each
	// once. It lacks the last part, which is the request's own.
	SharedParts []string
}

// EndpointHeaders is the information that the daemon adds when it forwards a caller's request.
type EndpointHeaders struct {
	// RemainingTime is the rest of the caller's timeout.
	RemainingTime time.Duration
	// Endpoint is the intended receiver; another endpoint at the same address refuses the request.
	Endpoint     EndpointID
	Organisation Organisation
	// Hops are the stages of a pipeline; empty for a plain service.
	Hops []Hop
	// LastEvent is the ID of the event after which the stream resumes, or empty.
	LastEvent string
	// Priority is the place of the request's class among those of its service, 0 for the most urgent. It is stated only if HasPriority
	// is set.
	Priority    int
	HasPriority bool
}

// AnswerHeaders is the information that the headers of an endpoint's answer give.
type AnswerHeaders struct {
	// NotRun means that the endpoint did not run the request and never will.
	NotRun bool
	// RequestID is the request that the answer belongs to, or empty if the answer does not say.
	RequestID RequestID
	// FailedAddress is the address of the endpoint that refused or failed, if that is not the
	// endpoint that answers; otherwise it is empty.
	FailedAddress string
	// Running is the number of all requests at the endpoint, or -1 if the answer does not say;
	// Waiting is how many of them have not begun. In a LoadReport, by contrast, Running does not
	// include the waiting ones.
	Running int
	Waiting int
	// Unsigned means that a successful answer lacks the signature header that endpoints add to
	// complete answers, so that it may be incomplete.
	Unsigned bool
	// Limit is what the endpoint states of the requests that it takes.
	Limit StatedLimit
	// Misdirected means that another endpoint answers at the address, or that the endpoint lacks
	// layers of the request's route.
	Misdirected bool
	// RetryAfter is how long the endpoint wants nothing more from this daemon, or 0.
	RetryAfter time.Duration
	// Leaving means that the endpoint is about to end and takes no further requests.
	Leaving bool
}

// StatedLimit is what an answer says of the number of requests that its endpoint takes from all daemons together.
type StatedLimit struct {
	Kind LimitKind
	// PerSecond is the number of requests a second, which may be 0, if Kind is LimitStated.
	PerSecond float64
	// Text is the statement as it was received.
	Text string
}

// Dialect reads and writes the headers that a deployment's callers and endpoints use.
type Dialect interface {
	// ParseCaller reads a caller's headers.
	ParseCaller(header http.Header) (CallerHeaders, error)
	// Forward returns the headers to send to the endpoint, made from those of the caller.
	Forward(header http.Header, terms EndpointHeaders) http.Header
	// HandOver returns the headers with which another daemon gets a caller's request that waits for another time, and that
	// resumes after an event if lastEvent is not empty.
	HandOver(header http.Header, remaining time.Duration, lastEvent string) http.Header
	// SetAnswerID sets the ID of the request that an answer belongs to.
	SetAnswerID(header http.Header, id RequestID)
	// ParseAnswer reads the headers of an endpoint's answer.
	ParseAnswer(response *http.Response) AnswerHeaders
}
