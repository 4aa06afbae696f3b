package routing

import (
	"cmp"
	"slices"
	"sync"

	"chicoryhall.example/chicoryhall"
)

// EndpointLister gives the endpoints of a service that the platform lists.
type EndpointLister interface {
	// Endpoints returns the endpoints of one service, ordered by ID.
	Endpoints(service chicoryhall.ServiceName) []chicoryhall.DocumentEndpoint
	// SubscribeList calls changed when the endpoints of a service have changed.
	SubscribeList(changed func(chicoryhall.ServiceName))
}

// Documents is a chicoryhall.Documents of the newest rule set and the listed endpoints.
type Documents struct {
	current *CurrentRules
	listed  EndpointLister

	mu          sync.Mutex
	byService   map[chicoryhall.ServiceName]chicoryhall.DocumentVersion
	subscribers []func(chicoryhall.DocumentVersion)
}

// NewDocuments returns the documents of a rule set that may come later.
func NewDocuments(current *CurrentRules, listed EndpointLister) *Documents {
	d := &Documents{current: current, listed: listed, byService: make(map[chicoryhall.ServiceName]chicoryhall.DocumentVersion)}
	current.Subscribe(func(table *Table) {
		for _, document := range table.set.Documents {
			d.renew(document.Service)
		}
	})
	listed.SubscribeList(d.renew)
	return d
}

// Current returns the document of one service.
func (d *Documents) Current(service chicoryhall.ServiceName) (chicoryhall.DocumentVersion, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	inForce, ok := d.byService[service]
	return inForce, ok
}

// All returns every document, ordered by name.
func (d *Documents) All() []chicoryhall.DocumentVersion {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]chicoryhall.DocumentVersion, 0, len(d.byService))
	for _, inForce := range d.byService {
		all = append(all, inForce)
	}
	slices.SortFunc(all, func(a, b chicoryhall.DocumentVersion) int { return cmp.Compare(a.Document.Service, b.Document.Service) })
	return all
}

// Subscribe calls changed with each document that is composed anew.
func (d *Documents) Subscribe(changed func(chicoryhall.DocumentVersion)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(d.subscribers, changed)
}

// renew composes the document of one service again.
func (d *Documents) renew(service chicoryhall.ServiceName) {
	d.mu.Lock()
	table, known := d.current.Table()
	if !known {
		d.mu.Unlock()
		return
	}
	described := documentOf(table.set, service)
	if described == nil {
		d.mu.Unlock()
		return
	}
	composed := *described
	composed.Classes = classesOf(table.set)
	composed.Endpoints = d.listed.Endpoints(service)
	inForce := chicoryhall.DocumentVersion{Document: &composed, Version: table.Version()}
	d.byService[service] = inForce
	subscribers := d.subscribers
	d.mu.Unlock()
	for _, changed := range subscribers {
		changed(inForce)
	}
}

func documentOf(set *chicoryhall.RuleSet, service chicoryhall.ServiceName) *chicoryhall.Document {
	for _, document := range set.Documents {
		if document.Service == service {
			return document
		}
	}
	return nil
}

// classesOf returns a class for each kind and priority that a request can have.
func classesOf(set *chicoryhall.RuleSet) []chicoryhall.DocumentClass {
	var classes []chicoryhall.DocumentClass
	seen := make(map[chicoryhall.ClassName]bool)
	add := func(rule *chicoryhall.Rule, priority int) {
		class := rule.Class(priority)
		if !seen[class.Name] {
			seen[class.Name] = true
			classes = append(classes, class)
		}
	}
	for i := range set.Rules {
		add(&set.Rules[i], set.Rules[i].Priority)
		for _, organisation := range set.Organisations {
			if organisation.HasPriority {
				add(&set.Rules[i], organisation.Priority)
			}
		}
	}
	return classes
}
