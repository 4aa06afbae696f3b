package quarantine

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

//go:generate go tool enumer -type=AskKind -json -text -transform=kebab -trimprefix=Ask -output=askkind_enumer.go
//go:generate go tool enumer -type=Decision -json -text -transform=kebab -trimprefix=Decision -output=decision_enumer.go

// The methods between daemons.
const (
	// MethodAsk carries an Ask to the arbiter and its Answer back.
	MethodAsk = "quarantine.ask"
	// MethodNotice carries a Notice from the arbiter to every daemon.
	MethodNotice = "quarantine.notice"
	// MethodConvicted exchanges Convictions with the arbiter.
	MethodConvicted = "quarantine.convicted"
)

// LearnPeriod is how often a daemon exchanges convictions with the arbiter.
const LearnPeriod = 5 * time.Second

// Fingerprint names the content of a request: its service and prompt.
type Fingerprint uint64

// AskKind tells what an Ask wants.
type AskKind int

// The kinds of asks.
const (
	// AskRun asks to run a suspect on Engines.
	AskRun AskKind = iota
	// AskPassed tells that a suspect has run beyond the point of the crash.
	AskPassed
	// AskEnded tells that a suspect has ended without a verdict.
	AskEnded
)

// Ask is one question or report to the arbiter; it is idempotent.
type Ask struct {
	Kind        AskKind               `json:"kind"`
	Fingerprint Fingerprint           `json:"fingerprint"`
	Request     chicoryhall.RequestID `json:"request"`
	// Engines are those that the request has not run on before.
	Engines []chicoryhall.EndpointID `json:"engines,omitempty"`
	// Crashed are endpoints that have just crashed under requests with the fingerprint.
	Crashed []chicoryhall.EndpointID `json:"crashed,omitempty"`
	// Suspect tells an arbiter that is new that the asking daemon knows of a suspicion.
	Suspect bool `json:"suspect,omitempty"`
}

// Decision is the arbiter's answer.
type Decision int

// The decisions.
const (
	// DecisionFree means that the request is not under suspicion and may run.
	DecisionFree Decision = iota
	// DecisionReserved means that the request may run, alone on the engines that it asked for.
	DecisionReserved
	// DecisionWait means that the request shall ask again, without the busy engines.
	DecisionWait
	// DecisionRefuse means that the request crashes endpoints.
	DecisionRefuse
)

// Answer answers an Ask.
type Answer struct {
	Decision Decision `json:"decision"`
	// Busy are the engines on which other suspects run.
	Busy []chicoryhall.EndpointID `json:"busy,omitempty"`
}

// Notice tells every daemon what has changed.
type Notice struct {
	Suspects  []Fingerprint            `json:"suspects,omitempty"`
	Convicted []Fingerprint            `json:"convicted,omitempty"`
	Cleared   []Fingerprint            `json:"cleared,omitempty"`
	Reserved  []chicoryhall.EndpointID `json:"reserved,omitempty"`
	Released  []chicoryhall.EndpointID `json:"released,omitempty"`
}

// Empty reports whether nothing has changed.
func (n *Notice) Empty() bool {
	return len(n.Suspects)+len(n.Convicted)+len(n.Cleared)+len(n.Reserved)+len(n.Released) == 0
}

// Conviction is one fingerprint that is refused for Seconds more.
type Conviction struct {
	Fingerprint Fingerprint `json:"f"`
	Seconds     int64       `json:"s"`
}

// Convictions are all that a daemon knows of.
type Convictions struct {
	Refused []Conviction `json:"refused,omitempty"`
}
