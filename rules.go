package chicoryhall

import (
	"fmt"
	"time"
)

//go:generate go tool enumer -type=ExchangeKind -json -text -transform=lower -trimprefix=Exchange -output=exchangekind_enumer.go

// ExchangeKind tells whether an exchange, that is a request that is passed through and its answer,
// may run more than once, and whether the answer is a stream.
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

// Rule assigns the requests of one host and path prefix to services and sets their limits.
type Rule struct {
	Name string
	// Host is compared with the host that the caller names, without regard to case. The caller's port
	// is ignored unless the host of some rule includes this port.
	Host string
	// Prefix begins and ends with a slash; the longest prefix that matches a path applies.
	Prefix string
	// Targets are the services; each request goes to a random one, in proportion to their weights.
	Targets []RuleTarget
	Kind    ExchangeKind
	// Resumable means that a broken stream may resume at another endpoint after its last event.
	Resumable bool
	// Timeout is the longest time that a caller waits for the complete answer. A caller may ask for
	// less; if Timeout is 0, only the caller's own timeout applies.
	Timeout time.Duration
	// TargetLatency is the desired time to the answer or to the first event.
	TargetLatency time.Duration
	// TargetGap is the longest desired time between two events. A stream that pauses for a multiple
	// of it is taken to have stalled.
	TargetGap time.Duration
	// MaxAttempts is the number of times that a request which may be repeated may run. Attempts that
	// certainly did not run the request do not count.
	MaxAttempts int
	// Priority orders requests; 0 is the highest priority.
	Priority int
	// Anonymous means that callers need no credential.
	Anonymous bool
}

// RuleTarget is one service of a rule with its share of the rule's requests.
type RuleTarget struct {
	Service ServiceName
	Weight  float64
}

// RuleOrganisation is an organisation with the credentials of its callers.
type RuleOrganisation struct {
	Name Organisation
	// Credentials are the texts that callers send, not digests.
	Credentials []string
	// Priority overrides that of the rule if HasPriority is set.
	Priority    int
	HasPriority bool
}

// MessageLimits limits the size of callers' messages and the time that callers may take.
type MessageLimits struct {
	// MaxHeadBytes and MaxBodyBytes limit the size of a message's head and body.
	MaxHeadBytes int
	MaxBodyBytes int64
	// HeadTimeout is the longest time in which a complete head must arrive, IdleTimeout the longest
	// time that a connection may be idle between two requests.
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

// RuleSet is one version of the complete configuration that the operators have set.
type RuleSet struct {
	// Version increases with each change.
	Version       int64
	Rules         []Rule
	Organisations []RuleOrganisation
	Limits        MessageLimits
	// Documents describe the services; their lists of endpoints are empty.
	Documents []*Document
}

// rulePriorities is the number of priorities of rules that are told apart among requests whose organisations have the same priority.
const rulePriorities = 16

// Class returns the class in which the rule's requests of the given priority are admitted: that of the
// rule, or that of their organisation, which goes first. Requests of equal priority are ordered by that
// of their rules. A resumable stream counts as idempotent, because it may run again after a failure.
func (r *Rule) Class(priority int) DocumentClass {
	name := className(r.Kind, priority)
	if priority != r.Priority {
		name = ClassName(fmt.Sprintf("%s-%d", name, r.Priority))
	}
	return DocumentClass{
		Name:          name,
		Priority:      priority*rulePriorities + min(rulePriorities-1, max(0, r.Priority)),
		Idempotent:    r.Kind == ExchangeSafe || r.Resumable,
		Timeout:       r.Timeout,
		TargetLatency: r.TargetLatency,
	}
}
