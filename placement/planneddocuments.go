package placement

import (
	"slices"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// settlePeriod is how long a domain without a complete copy of the model must not have grown
	// before layers are planned, because endpoints that start together appear one after another.
	settlePeriod = 1300 * time.Millisecond
	// gapGracePeriod is how long layers must have been missing before other endpoints take them
	// over, because an endpoint that crashed may be back by then.
	gapGracePeriod = 1500 * time.Millisecond
	// assignmentLifetime is how long an endpoint that was assigned a range counts as holding it.
	assignmentLifetime = 20 * time.Second
)

// PlannedDocuments is a chicoryhall.Documents whose endpoints get the layers computed by PlanRanges
// and RepairRanges. It is used for endpoints that start without layers, and is safe for concurrent
// use.
type PlannedDocuments struct {
	documents chicoryhall.Documents
	endpoints chicoryhall.Endpoints
	timer     chicoryhall.Timer

	mu          sync.Mutex
	domains     map[domainKey]domainState
	assignments map[chicoryhall.EndpointID]assignment
}

// domainKey identifies a failure domain of a service.
type domainKey struct {
	service chicoryhall.ServiceName
	domain  chicoryhall.FailureDomain
}

// domainState tells since when a domain has not grown, and since when layers have been missing in
// it (zero if none are).
type domainState struct {
	endpointCount   int
	grownAt         time.Time
	incompleteSince time.Time
}

// assignment is a range that was assigned to an endpoint, and the incarnation of the endpoint at
// that time.
type assignment struct {
	layers      LayerSpan
	incarnation int64
	at          time.Time
}

// NewPlannedDocuments returns the given documents with planned ranges.
func NewPlannedDocuments(documents chicoryhall.Documents, endpoints chicoryhall.Endpoints, timer chicoryhall.Timer) *PlannedDocuments {
	return &PlannedDocuments{
		documents: documents, endpoints: endpoints, timer: timer,
		domains: make(map[domainKey]domainState), assignments: make(map[chicoryhall.EndpointID]assignment),
	}
}

// Current returns the document of one service with planned ranges.
func (r *PlannedDocuments) Current(service chicoryhall.ServiceName) (chicoryhall.DocumentVersion, bool) {
	current, known := r.documents.Current(service)
	if !known {
		return chicoryhall.DocumentVersion{}, false
	}
	return r.withPlannedRanges(current), true
}

// All returns every service's document with planned ranges, ordered by name.
func (r *PlannedDocuments) All() []chicoryhall.DocumentVersion {
	var all []chicoryhall.DocumentVersion
	for _, current := range r.documents.All() {
		all = append(all, r.withPlannedRanges(current))
	}
	return all
}

// Subscribe calls changed with each document that comes into force, with planned ranges.
func (r *PlannedDocuments) Subscribe(changed func(chicoryhall.DocumentVersion)) {
	r.documents.Subscribe(func(current chicoryhall.DocumentVersion) { changed(r.withPlannedRanges(current)) })
}

// withPlannedRanges returns the document with the planned ranges of its endpoints. Each failure
// domain is planned separately, because chains do not cross domains.
func (r *PlannedDocuments) withPlannedRanges(current chicoryhall.DocumentVersion) chicoryhall.DocumentVersion {
	if current.Document.Kind != chicoryhall.ServicePipeline {
		return current
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	wanted := make(map[chicoryhall.EndpointID]LayerSpan)
	for domain, endpoints := range r.byDomain(current.Document, now) {
		r.plan(current.Document, domain, endpoints, now, wanted)
	}
	planned := *current.Document
	planned.Endpoints = slices.Clone(planned.Endpoints)
	for i := range planned.Endpoints {
		if layers, ok := wanted[planned.Endpoints[i].ID]; ok {
			planned.Endpoints[i].From, planned.Endpoints[i].To = layers.From, layers.To
		}
	}
	current.Document = &planned
	return current
}

// byDomain returns the endpoints that are neither leaving nor dead, with the layers that they hold
// or were assigned recently.
func (r *PlannedDocuments) byDomain(document *chicoryhall.Document, now time.Time) map[chicoryhall.FailureDomain][]RangeEndpoint {
	byDomain := make(map[chicoryhall.FailureDomain][]RangeEndpoint)
	for _, endpoint := range document.Endpoints {
		view := r.endpoints.View(endpoint.ID)
		if view.State == chicoryhall.EndpointLeaving || view.State == chicoryhall.EndpointDead {
			continue
		}
		held := LayerSpan{From: endpoint.From, To: endpoint.To}
		if a, ok := r.assignments[endpoint.ID]; ok && a.incarnation == view.Load.Incarnation && now.Sub(a.at) < assignmentLifetime {
			held = a.layers
		}
		byDomain[endpoint.FailureDomain] = append(byDomain[endpoint.FailureDomain], RangeEndpoint{
			ID: endpoint.ID, Accelerator: endpoint.Accelerator, Held: held, Incarnation: view.Load.Incarnation,
		})
	}
	return byDomain
}

// plan adds the ranges of one domain's endpoints to wanted.
func (r *PlannedDocuments) plan(document *chicoryhall.Document, domain chicoryhall.FailureDomain, endpoints []RangeEndpoint, now time.Time,
	wanted map[chicoryhall.EndpointID]LayerSpan,
) {
	for _, endpoint := range endpoints {
		wanted[endpoint.ID] = endpoint.Held
	}
	state := r.observe(document, domain, endpoints, now)
	isWhole := state.incompleteSince.IsZero()
	if !isWhole && now.Sub(state.grownAt) < settlePeriod {
		return
	}
	planned := PlanRanges(document, endpoints)
	if len(planned) == 0 && !isWhole && now.Sub(state.incompleteSince) >= gapGracePeriod {
		planned = RepairRanges(document, endpoints)
	}
	for _, endpoint := range endpoints {
		if layers, ok := planned[endpoint.ID]; ok {
			wanted[endpoint.ID] = layers
			r.assignments[endpoint.ID] = assignment{layers: layers, incarnation: endpoint.Incarnation, at: now}
		}
	}
}

// observe records whether a domain has grown and whether it lacks layers.
func (r *PlannedDocuments) observe(document *chicoryhall.Document, domain chicoryhall.FailureDomain, endpoints []RangeEndpoint, now time.Time) domainState {
	key := domainKey{service: document.Service, domain: domain}
	state, known := r.domains[key]
	if !known || state.endpointCount < len(endpoints) {
		state.grownAt = now
	}
	state.endpointCount = len(endpoints)
	switch isWhole := newRangePlan(document, endpoints).firstGap().Len() == 0; {
	case isWhole:
		state.incompleteSince = time.Time{}
	case state.incompleteSince.IsZero():
		state.incompleteSince = now
	}
	r.domains[key] = state
	return state
}
