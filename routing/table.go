package routing

import (
	"cmp"
	"slices"
	"strings"

	"chicoryhall.example/chicoryhall"
)

// Identity is the organisation behind a credential and its priority.
type Identity struct {
	Organisation chicoryhall.Organisation
	Priority     int
	HasPriority  bool
}

// Table answers look-ups in one rule set; it is read-only.
type Table struct {
	set *chicoryhall.RuleSet
	// byHost holds the rules of each host, those with the longest prefix first.
	byHost       map[string][]*chicoryhall.Rule
	byCredential map[string]Identity
}

// NewTable returns the Table of a rule set that is not changed any more.
func NewTable(set *chicoryhall.RuleSet) *Table {
	t := &Table{
		set:          set,
		byHost:       make(map[string][]*chicoryhall.Rule),
		byCredential: make(map[string]Identity),
	}
	for i := range set.Rules {
		rule := &set.Rules[i]
		host := strings.ToLower(rule.Host)
		t.byHost[host] = append(t.byHost[host], rule)
	}
	for _, rules := range t.byHost {
		slices.SortStableFunc(rules, func(a, b *chicoryhall.Rule) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, organisation := range set.Organisations {
		for _, credential := range organisation.Credentials {
			t.byCredential[credential] = Identity{
				Organisation: organisation.Name, Priority: organisation.Priority, HasPriority: organisation.HasPriority,
			}
		}
	}
	return t
}

// Version returns the version of the rule set.
func (t *Table) Version() int64 { return t.set.Version }

// Set returns the rule set.
func (t *Table) Set() *chicoryhall.RuleSet { return t.set }

// Match returns the rule of a host whose prefix is the longest that begins the path.
func (t *Table) Match(host, path string) (*chicoryhall.Rule, bool) {
	rules, known := t.byHost[strings.ToLower(host)]
	if !known {
		rules = t.byHost[strings.ToLower(withoutPort(host))]
	}
	for _, rule := range rules {
		if strings.HasPrefix(path, rule.Prefix) {
			return rule, true
		}
	}
	return nil, false
}

func withoutPort(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}

// RequiresCredentials tells whether callers must bring a credential, but for anonymous rules.
func (t *Table) RequiresCredentials() bool { return len(t.set.Organisations) > 0 }

// Identify returns the organisation that holds a credential.
func (t *Table) Identify(credential string) (Identity, bool) {
	identity, known := t.byCredential[credential]
	return identity, known
}

// Target draws one of the rule's services by their weights; draw lies in [0,1).
func Target(rule *chicoryhall.Rule, draw float64) chicoryhall.ServiceName {
	total := 0.0
	for _, target := range rule.Targets {
		total += target.Weight
	}
	left := draw * total
	for _, target := range rule.Targets {
		left -= target.Weight
		if left < 0 {
			return target.Service
		}
	}
	return rule.Targets[len(rule.Targets)-1].Service
}
