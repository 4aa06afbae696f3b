package quarantine

import (
	"fmt"
	"time"

	"chicoryhall.example/chicoryhall"
)

//go:generate go tool enumer -type=QueryKind -json -text -transform=kebab -trimprefix=Query -output=querykind_enumer.go
//go:generate go tool enumer -type=Decision -json -text -transform=kebab -trimprefix=Decision -output=decision_enumer.go

// The methods that daemons call on each other.
const (
	// MethodAsk sends a Query to the arbiter, which returns an Answer.
	MethodAsk = "quarantine.ask"
	// MethodNotice sends a Notice from the arbiter to every daemon.
	MethodNotice = "quarantine.notice"
	// MethodConvicted exchanges Convictions between the Replica of the calling daemon and that of
	// the daemon that acts as the arbiter. The Arbiter itself takes no part: after a change of the
	// arbiter, the new one does not know of earlier convictions, but daemons refuse convicted
	// fingerprints by their own Replica, without a Query.
	MethodConvicted = "quarantine.convicted"
)

// ExchangePeriod is how often a daemon calls MethodConvicted.
const ExchangePeriod = 5 * time.Second

// Fingerprint identifies the content of a request: a hash of its service, prompt, operation and
// body. Package requests computes it.
type Fingerprint uint64

// String returns the fingerprint as it stands in logs, in 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// QueryKind is the purpose of a Query.
type QueryKind int

// The kinds of queries.
const (
	// QueryRun asks whether a request with a suspect fingerprint may run, and for a reservation of
	// Endpoints.
	QueryRun QueryKind = iota
	// QueryPassed reports that the holder of a reservation ran without crashing its endpoints: it
	// generated further tokens or was answered in full. This clears the fingerprint.
	QueryPassed
	// QueryEnded reports that the holder of a reservation ended without passing, for example
	// because it failed or was cancelled. The reservation is released and the fingerprint stays
	// suspect.
	QueryEnded
)

// Query is a question or a report to the arbiter about one request. Queries are idempotent.
type Query struct {
	Kind        QueryKind             `json:"kind"`
	Fingerprint Fingerprint           `json:"fingerprint"`
	Request     chicoryhall.RequestID `json:"request"`
	// Endpoints are the endpoints to reserve: those of the route's stages that do not continue with
	// their own KV of an earlier attempt.
	Endpoints []chicoryhall.EndpointID `json:"engines,omitempty"`
	// Crashed are endpoints that crashed while they ran requests with the fingerprint and that the
	// sender has not reported yet.
	Crashed []chicoryhall.EndpointID `json:"crashed,omitempty"`
	// Suspect tells that the sender regards the fingerprint as suspect although it has no crash to
	// report. An arbiter that has just taken over learns of the suspicion from it. It is used with
	// QueryRun only.
	Suspect bool `json:"suspect,omitempty"`
}

// Decision tells whether a request may run. It answers a QueryRun; senders ignore the answer to
// other kinds of queries.
type Decision int

// The decisions of the arbiter.
const (
	// DecisionFree means that the fingerprint is not suspect and the request may run.
	DecisionFree Decision = iota
	// DecisionReserved means that the request may run on the queried endpoints, which are reserved for it.
	DecisionReserved
	// DecisionWait means that the request has to query again later: another request with the
	// fingerprint holds a reservation, or some of the endpoints are busy.
	DecisionWait
	// DecisionRefuse means that the request is refused because it crashes endpoints.
	DecisionRefuse
)

// Answer is the arbiter's reply to a Query.
type Answer struct {
	Decision Decision `json:"decision"`
	// Busy lists all endpoints that are reserved for suspects if DecisionWait was given because
	// some of the queried ones are. The next query should avoid them.
	Busy []chicoryhall.EndpointID `json:"busy,omitempty"`
}

// Notice tells every daemon which fingerprints became suspect, were convicted or were cleared, and
// which endpoints were reserved or released. Cleared also lists fingerprints whose suspicion or
// conviction has expired; a Replica ignores it for a conviction, which expires there on its own. An
// endpoint in both Released and Reserved was released first.
type Notice struct {
	Suspects  []Fingerprint            `json:"suspects,omitempty"`
	Convicted []Fingerprint            `json:"convicted,omitempty"`
	Cleared   []Fingerprint            `json:"cleared,omitempty"`
	Reserved  []chicoryhall.EndpointID `json:"reserved,omitempty"`
	Released  []chicoryhall.EndpointID `json:"released,omitempty"`
}

// Empty reports whether the notice contains no change.
func (n *Notice) Empty() bool {
	return len(n.Suspects)+len(n.Convicted)+len(n.Cleared)+len(n.Reserved)+len(n.Released) == 0
}

// Conviction is a fingerprint that is refused for another Seconds.
type Conviction struct {
	Fingerprint Fingerprint `json:"f"`
	Seconds     int64       `json:"s"`
}

// Convictions are all convictions known to a daemon.
type Convictions struct {
	Convicted []Conviction `json:"refused,omitempty"`
}
