package routing

import (
	"cmp"
	"slices"
	"strings"

	"chicoryhall.example/chicoryhall"
)

// Identity is the organisation that a credential belongs to. The organisation's priority replaces that of the
// rule if HasPriority is set.
type Identity struct {
	Organisation chicoryhall.Organisation
	Priority     int
	HasPriority  bool
}

// Table is a read-only index of a rule set: it finds rules by host and path, and organisations by credential.
type Table struct {
	set *chicoryhall.RuleSet
	// byHost holds the rules of each host, those with the longest prefix first.
	byHost       map[string][]*chicoryhall.Rule
	byCredential map[string]Identity
	// byService holds the document of each service, classes are those of all of them.
	byService map[chicoryhall.ServiceName]*chicoryhall.Document
	classes   []chicoryhall.DocumentClass
	// urgencies are the priorities of the classes that the requests of each service can have, in ascending order.
	urgencies map[chicoryhall.ServiceName][]int
}

// NewTable returns the Table of a rule set, which must not be changed afterwards.
func NewTable(set *chicoryhall.RuleSet) *Table {
	t := &Table{
		set:          set,
		byHost:       make(map[string][]*chicoryhall.Rule),
		byCredential: make(map[string]Identity),
		byService:    make(map[chicoryhall.ServiceName]*chicoryhall.Document, len(set.Documents)),
		classes:      classesOf(set),
		urgencies:    urgenciesOf(set),
	}
	for _, document := range slices.Backward(set.Documents) { // The first one of a service counts.
		t.byService[document.Service] = document
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

// RuleSet returns the rule set.
func (t *Table) RuleSet() *chicoryhall.RuleSet { return t.set }

// Match returns the rule for a host and path: among the rules of the host, the one with the longest prefix of
// the path. The host may have a port, which is ignored unless there are rules for the host with this port.
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

// RequiresCredentials reports whether callers need a credential, except for rules that are Anonymous. They do if any
// organisation is configured.
func (t *Table) RequiresCredentials() bool { return len(t.set.Organisations) > 0 }

// Identify returns the organisation that a credential belongs to.
func (t *Table) Identify(credential string) (Identity, bool) {
	identity, known := t.byCredential[credential]
	return identity, known
}

// Rank returns the place of a class among those that the requests of a service can have, 0 for the most urgent ones. It returns false
// if all requests of the service are equally urgent.
func (t *Table) Rank(service chicoryhall.ServiceName, class chicoryhall.DocumentClass) (int, bool) {
	urgencies := t.urgencies[service]
	rank, _ := slices.BinarySearch(urgencies, class.Priority)
	return rank, len(urgencies) > 1
}

// urgenciesOf returns the priorities of the classes of each service, each one once, in ascending order.
func urgenciesOf(set *chicoryhall.RuleSet) map[chicoryhall.ServiceName][]int {
	urgencies := make(map[chicoryhall.ServiceName][]int)
	ofOrganisations := organisationPriorities(set)
	for i := range set.Rules {
		rule := &set.Rules[i]
		for _, target := range rule.Targets {
			for _, priority := range append([]int{rule.Priority}, ofOrganisations...) {
				urgencies[target.Service] = append(urgencies[target.Service], rule.Class(priority).Priority)
			}
		}
	}
	for service, all := range urgencies {
		slices.Sort(all)
		urgencies[service] = slices.Compact(all)
	}
	return urgencies
}

// ChooseTarget chooses one of the rule's services according to their weights; random is a random number in
// [0,1). The rule must have a target.
func ChooseTarget(rule *chicoryhall.Rule, random float64) chicoryhall.ServiceName {
	total := 0.0
	for _, target := range rule.Targets {
		total += target.Weight
	}
	remaining := random * total
	for _, target := range rule.Targets {
		remaining -= target.Weight
		if remaining < 0 {
			return target.Service
		}
	}
	return rule.Targets[len(rule.Targets)-1].Service
}

// classesOf returns the admission classes of the rule set: one for each kind and priorities that a request can
// have. If several rules give the same class, the first one determines its settings.
func classesOf(set *chicoryhall.RuleSet) []chicoryhall.DocumentClass {
	var classes []chicoryhall.DocumentClass
	seen := make(map[chicoryhall.ClassName]bool)
	add := func(rule *chicoryhall.Rule, priority int) {
		if class := rule.Class(priority); !seen[class.Name] {
			seen[class.Name] = true
			classes = append(classes, class)
		}
	}
	priorities := organisationPriorities(set)
	for i := range set.Rules {
		add(&set.Rules[i], set.Rules[i].Priority)
		for _, priority := range priorities {
			add(&set.Rules[i], priority)
		}
	}
	return classes
}

// organisationPriorities returns the priorities that organisations give to their requests, each one once.
func organisationPriorities(set *chicoryhall.RuleSet) []int {
	var priorities []int
	for _, organisation := range set.Organisations {
		if organisation.HasPriority && !slices.Contains(priorities, organisation.Priority) {
			priorities = append(priorities, organisation.Priority)
		}
	}
	return priorities
}
