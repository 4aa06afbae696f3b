package placement

import (
	"slices"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// settlePeriod is how long a domain without a whole copy of the model must not have grown before
	// its engines are placed: engines that start together are listed one after another.
	settlePeriod = 1300 * time.Millisecond
	// gapGracePeriod is how long layers must have been missing before engines move for them: an engine
	// that crashed may be back by then.
	gapGracePeriod = 1500 * time.Millisecond
	// assignmentLifetime is how long an engine that was assigned a range counts as holding it.
	assignmentLifetime = 20 * time.Second
)

// PlannedDocuments is a chicoryhall.Documents whose endpoints get the layers that PlanRanges and
// RepairRanges want of them, for engines that start empty.
type PlannedDocuments struct {
	documents chicoryhall.Documents
	endpoints chicoryhall.Endpoints
	timer     chicoryhall.Timer

	mu          sync.Mutex
	domains     map[domainKey]domainState
	assignments map[chicoryhall.EndpointID]assignment
}

// domainKey names one failure domain of one service.
type domainKey struct {
	service chicoryhall.ServiceName
	domain  chicoryhall.FailureDomain
}

// domainState is since when a domain has not grown, and since when it has lacked layers.
type domainState struct {
	endpointCount   int
	grownAt         time.Time
	incompleteSince time.Time
}

// assignment is a range that an engine was assigned in one of its runs.
type assignment struct {
	layers      LayerSpan
	incarnation int64
	at          time.Time
}

// NewPlannedDocuments returns the documents with planned ranges.
func NewPlannedDocuments(documents chicoryhall.Documents, endpoints chicoryhall.Endpoints, timer chicoryhall.Timer) *PlannedDocuments {
	return &PlannedDocuments{
		documents: documents, endpoints: endpoints, timer: timer,
		domains: make(map[domainKey]domainState), assignments: make(map[chicoryhall.EndpointID]assignment),
	}
}

// Current returns the document of one service with planned ranges.
func (r *PlannedDocuments) Current(service chicoryhall.ServiceName) (chicoryhall.DocumentVersion, bool) {
	inForce, known := r.documents.Current(service)
	if !known {
		return chicoryhall.DocumentVersion{}, false
	}
	return r.withPlannedRanges(inForce), true
}

// All returns every service's document with planned ranges, ordered by name.
func (r *PlannedDocuments) All() []chicoryhall.DocumentVersion {
	var all []chicoryhall.DocumentVersion
	for _, inForce := range r.documents.All() {
		all = append(all, r.withPlannedRanges(inForce))
	}
	return all
}

// Subscribe calls changed with each document that comes into force, with planned ranges.
func (r *PlannedDocuments) Subscribe(changed func(chicoryhall.DocumentVersion)) {
	r.documents.Subscribe(func(inForce chicoryhall.DocumentVersion) { changed(r.withPlannedRanges(inForce)) })
}

// withPlannedRanges plans each failure domain by itself: chains do not cross domains.
func (r *PlannedDocuments) withPlannedRanges(inForce chicoryhall.DocumentVersion) chicoryhall.DocumentVersion {
	if inForce.Document.Kind != chicoryhall.ServicePipeline {
		return inForce
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	wanted := make(map[chicoryhall.EndpointID]LayerSpan)
	for domain, engines := range r.byDomain(inForce.Document, now) {
		r.plan(inForce.Document, domain, engines, now, wanted)
	}
	planned := *inForce.Document
	planned.Endpoints = slices.Clone(planned.Endpoints)
	for i := range planned.Endpoints {
		if layers, ok := wanted[planned.Endpoints[i].ID]; ok {
			planned.Endpoints[i].From, planned.Endpoints[i].To = layers.From, layers.To
		}
	}
	inForce.Document = &planned
	return inForce
}

// byDomain returns the engines that stay, with what they hold or were assigned lately.
func (r *PlannedDocuments) byDomain(document *chicoryhall.Document, now time.Time) map[chicoryhall.FailureDomain][]RangeEndpoint {
	byDomain := make(map[chicoryhall.FailureDomain][]RangeEndpoint)
	for _, endpoint := range document.Endpoints {
		view := r.endpoints.View(endpoint.ID)
		if view.State == chicoryhall.EndpointLeaving || view.State == chicoryhall.EndpointDead {
			continue
		}
		held := LayerSpan{From: endpoint.From, To: endpoint.To}
		if given, ok := r.assignments[endpoint.ID]; ok && given.incarnation == view.Load.Incarnation && now.Sub(given.at) < assignmentLifetime {
			held = given.layers
		}
		byDomain[endpoint.FailureDomain] = append(byDomain[endpoint.FailureDomain], RangeEndpoint{
			ID: endpoint.ID, Accelerator: endpoint.Accelerator, Held: held, Incarnation: view.Load.Incarnation,
		})
	}
	return byDomain
}

// plan adds the ranges that the engines of one domain shall hold to wanted.
func (r *PlannedDocuments) plan(document *chicoryhall.Document, domain chicoryhall.FailureDomain, engines []RangeEndpoint, now time.Time,
	wanted map[chicoryhall.EndpointID]LayerSpan,
) {
	for _, engine := range engines {
		wanted[engine.ID] = engine.Held
	}
	state := r.observe(document, domain, engines, now)
	isWhole := state.incompleteSince.IsZero()
	if !isWhole && now.Sub(state.grownAt) < settlePeriod {
		return
	}
	planned := PlanRanges(document, engines)
	if len(planned) == 0 && !isWhole && now.Sub(state.incompleteSince) >= gapGracePeriod {
		planned = RepairRanges(document, engines)
	}
	for _, engine := range engines {
		if layers, ok := planned[engine.ID]; ok {
			wanted[engine.ID] = layers
			r.assignments[engine.ID] = assignment{layers: layers, incarnation: engine.Incarnation, at: now}
		}
	}
}

// observe notes whether a domain has grown and whether it lacks layers.
func (r *PlannedDocuments) observe(document *chicoryhall.Document, domain chicoryhall.FailureDomain, engines []RangeEndpoint, now time.Time) domainState {
	key := domainKey{service: document.Service, domain: domain}
	state, known := r.domains[key]
	if !known || state.endpointCount < len(engines) {
		state.grownAt = now
	}
	state.endpointCount = len(engines)
	switch isWhole := newRangePlan(document, engines).firstGap().Len() == 0; {
	case isWhole:
		state.incompleteSince = time.Time{}
	case state.incompleteSince.IsZero():
		state.incompleteSince = now
	}
	r.domains[key] = state
	return state
}
