package routing

import (
	"cmp"
	"slices"
	"sync"

	"chicoryhall.example/chicoryhall"
)

// EndpointLister lists the endpoints of services.
type EndpointLister interface {
	// Endpoints returns the endpoints of a service, ordered by ID.
	Endpoints(service chicoryhall.ServiceName) []chicoryhall.DocumentEndpoint
	// SubscribeList registers a function that is called when the endpoints of a service have changed.
	SubscribeList(changed func(chicoryhall.ServiceName))
}

// Documents is a chicoryhall.Documents that combines the newest rule set with the listed endpoints.
type Documents struct {
	rules  *CurrentRules
	lister EndpointLister

	mu          sync.Mutex
	byService   map[chicoryhall.ServiceName]chicoryhall.DocumentVersion
	subscribers []func(chicoryhall.DocumentVersion)
}

// NewDocuments returns Documents that combine the given rules and endpoints. There is no document at first: a
// service's document is composed when the next rule set is applied or the list of its endpoints changes.
func NewDocuments(rules *CurrentRules, lister EndpointLister) *Documents {
	d := &Documents{rules: rules, lister: lister, byService: make(map[chicoryhall.ServiceName]chicoryhall.DocumentVersion)}
	rules.Subscribe(func(table *Table) {
		for _, document := range table.set.Documents {
			d.compose(document.Service)
		}
	})
	lister.SubscribeList(d.compose)
	return d
}

// Current returns the document of a service, or false if none is known.
func (d *Documents) Current(service chicoryhall.ServiceName) (chicoryhall.DocumentVersion, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current, ok := d.byService[service]
	return current, ok
}

// All returns all documents, ordered by service name.
func (d *Documents) All() []chicoryhall.DocumentVersion {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]chicoryhall.DocumentVersion, 0, len(d.byService))
	for _, current := range d.byService {
		all = append(all, current)
	}
	slices.SortFunc(all, func(a, b chicoryhall.DocumentVersion) int { return cmp.Compare(a.Document.Service, b.Document.Service) })
	return all
}

// Subscribe registers a function that is called with a service's document after each new rule set that has the
// service, even if the document has stayed the same, and after each change of the service's endpoints while the
// current rule set has the service. It is called after the
// lock was released, by the function that applies the change.
func (d *Documents) Subscribe(changed func(chicoryhall.DocumentVersion)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(d.subscribers, changed)
}

// fitting returns the endpoints that fit a document. Those of a pipeline are of a kind that it describes, and hold no layers but
// those of its model: anything else is the entry of another writer, or of another model.
func fitting(document *chicoryhall.Document, endpoints []chicoryhall.DocumentEndpoint) []chicoryhall.DocumentEndpoint {
	if document.Kind != chicoryhall.ServicePipeline {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), func(endpoint chicoryhall.DocumentEndpoint) bool {
		_, known := document.Accelerator(endpoint.Accelerator)
		return !known || endpoint.From < 0 || endpoint.To > document.Model.Layers
	})
}

// compose creates a service's document from the current rules and endpoints. Its version is that of the rule
// set, so it stays the same if only the endpoints change. Documents that were returned before are not
// modified. A service that is not in the rule set keeps its earlier document with the endpoints of that time; requests
// of the service that are in progress may still need it.
func (d *Documents) compose(service chicoryhall.ServiceName) {
	d.mu.Lock()
	table, known := d.rules.Table()
	if !known {
		d.mu.Unlock()
		return
	}
	document, listed := table.byService[service]
	if !listed {
		d.mu.Unlock()
		return
	}
	composed := *document
	composed.Classes = table.classes
	composed.Endpoints = fitting(document, d.lister.Endpoints(service))
	current := chicoryhall.DocumentVersion{Document: &composed, Version: table.Version()}
	d.byService[service] = current
	subscribers := d.subscribers
	d.mu.Unlock()
	for _, changed := range subscribers {
		changed(current)
	}
}
