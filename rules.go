package chicoryhall

import "time"

//go:generate go tool enumer -type=ExchangeKind -json -text -transform=lower -trimprefix=Exchange -output=exchangekind_enumer.go

// ExchangeKind tells what may be run again of an exchange that is passed through.
type ExchangeKind int

// The kinds of exchanges.
const (
	// ExchangeUnsafe may run at most once.
	ExchangeUnsafe ExchangeKind = iota
	// ExchangeSafe may run more than once.
	ExchangeSafe
	// ExchangeStream answers with events; it runs at most once unless its rule is resumable.
	ExchangeStream
)

// Rule tells which service answers the requests of one host and path prefix, and on which terms.
type Rule struct {
	Name string
	Host string
	// Prefix begins and ends with a slash; the longest one that fits a path applies.
	Prefix string
	// Targets are the services among which requests are drawn by weight.
	Targets []RuleTarget
	Kind    ExchangeKind
	// Resumable tells that a stream may go on at another endpoint behind its last event.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting for the final answer.
	Timeout time.Duration
	// TargetLatency is the wanted time to the answer or to the first event.
	TargetLatency time.Duration
	// TargetGap is the longest wanted pause between two events.
	TargetGap time.Duration
	// MaxAttempts is the number of endpoints that one request may run on.
	MaxAttempts int
	// Priority orders requests; 0 goes first.
	Priority int
	// Anonymous tells that no credential is asked for.
	Anonymous bool
}

// RuleTarget is one service of a rule.
type RuleTarget struct {
	Service ServiceName
	Weight  float64
}

// RuleOrganisation is an organisation with the credentials of its callers.
type RuleOrganisation struct {
	Name        Organisation
	Credentials []string
	// Priority goes before that of the rule if HasPriority is set.
	Priority    int
	HasPriority bool
}

// MessageLimits bound what callers may send and how long they may take.
type MessageLimits struct {
	// MaxHeadBytes and BodyBytes bound the parts of one message.
	MaxHeadBytes int
	MaxBodyBytes int64
	// HeadTimeout bounds the time for a whole head, IdleTimeout the pause between two requests.
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

// RuleSet is one whole version of what operators want.
type RuleSet struct {
	// Version grows with each change.
	Version       int64
	Rules         []Rule
	Organisations []RuleOrganisation
	Limits        MessageLimits
	// Documents describe the services, without their endpoints.
	Documents []*Document
}

// Class returns the class under which a rule's requests are admitted.
func (r *Rule) Class(priority int) DocumentClass {
	return DocumentClass{
		Name:          className(r.Kind, priority),
		Priority:      priority,
		Idempotent:    r.Kind == ExchangeSafe || r.Resumable,
		Timeout:       r.Timeout,
		TargetLatency: r.TargetLatency,
	}
}
