package quarantine

import (
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
	// MethodConvicted exchanges Convictions with the arbiter.
	MethodConvicted = "quarantine.convicted"
)

// ExchangePeriod is how often a daemon exchanges convictions with the arbiter.
const ExchangePeriod = 5 * time.Second

// Fingerprint identifies the content of a request: its service and prompt.
type Fingerprint uint64

// QueryKind is the purpose of a Query.
type QueryKind int

// The kinds of queries.
const (
	// QueryRun asks for a reservation of Engines to run a suspect on.
	QueryRun QueryKind = iota
	// QueryPassed reports that a suspect has run beyond the point of the crash.
	QueryPassed
	// QueryEnded reports that a suspect has ended and was neither cleared nor convicted.
	QueryEnded
)

// Query is a question or a report to the arbiter about one request. It may be sent repeatedly.
type Query struct {
	Kind        QueryKind             `json:"kind"`
	Fingerprint Fingerprint           `json:"fingerprint"`
	Request     chicoryhall.RequestID `json:"request"`
	// Endpoints are the engines to reserve. The request has not run on them before.
	Endpoints []chicoryhall.EndpointID `json:"engines,omitempty"`
	// Crashed are endpoints that have just crashed while they ran requests with the fingerprint.
	Crashed []chicoryhall.EndpointID `json:"crashed,omitempty"`
	// Suspect tells that the sender regards the fingerprint as suspect, which an arbiter that has
	// just taken over may not know.
	Suspect bool `json:"suspect,omitempty"`
}

// Decision tells whether a request may run.
type Decision int

// The decisions of the arbiter.
const (
	// DecisionFree means that the request is not under suspicion and may run.
	DecisionFree Decision = iota
	// DecisionReserved means that the request may run on the queried engines, which are reserved for it.
	DecisionReserved
	// DecisionWait means that the request has to query again later, without the busy engines.
	DecisionWait
	// DecisionRefuse means that the request is refused because it crashes endpoints.
	DecisionRefuse
)

// Answer is the arbiter's reply to a Query.
type Answer struct {
	Decision Decision `json:"decision"`
	// Busy are the engines that are reserved for other suspects.
	Busy []chicoryhall.EndpointID `json:"busy,omitempty"`
}

// Notice tells every daemon which fingerprints became suspect, were convicted or were cleared, and
// which engines were reserved or released.
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
	Refused []Conviction `json:"refused,omitempty"`
}
