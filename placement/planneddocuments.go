package placement

import (
	"slices"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// settlePeriod is how long the number of endpoints in a domain must not have grown before
	// layers are planned. Endpoints that start together appear one after another. The period does
	// not apply to a domain that holds a complete copy of the model.
	settlePeriod = 1300 * time.Millisecond
	// gapGracePeriod is how long layers must have been missing before other endpoints take them
	// over, because an endpoint that crashed may be back by then.
	gapGracePeriod = 1500 * time.Millisecond
	// assignmentLifetime is how long an endpoint that was assigned a range counts as holding it,
	// because its own listing shows the range only after it has loaded.
	assignmentLifetime = 20 * time.Second
)

// PlannedDocuments is a chicoryhall.Documents whose endpoints get the layers computed by PlanRanges
// and RepairRanges. It is used for endpoints that start without layers, and is safe for concurrent
// use.
type PlannedDocuments struct {
	documents chicoryhall.Documents
	endpoints chicoryhall.Endpoints
	timer     chicoryhall.Timer
	daemons   func() (int, bool)

	mu          sync.Mutex
	domains     map[domainKey]domainState
	assignments map[chicoryhall.EndpointID]assignment
}

// domainKey identifies a failure domain of a service.
type domainKey struct {
	service chicoryhall.ServiceName
	domain  chicoryhall.FailureDomain
}

// domainState is when the number of endpoints in a domain last grew, and since when the domain has
// held no complete copy of the model (zero if it holds one).
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

// NewPlannedDocuments returns the given documents with planned ranges. daemons returns the number of
// daemons in a failure domain, and whether it is known; before it is, nothing is planned.
func NewPlannedDocuments(documents chicoryhall.Documents, endpoints chicoryhall.Endpoints, timer chicoryhall.Timer,
	daemons func() (int, bool),
) *PlannedDocuments {
	return &PlannedDocuments{
		documents: documents, endpoints: endpoints, timer: timer, daemons: daemons,
		domains: make(map[domainKey]domainState), assignments: make(map[chicoryhall.EndpointID]assignment),
	}
}

// Current returns the document of one service with planned ranges. Like All and the function that
// Subscribe registers, it does the planning: it starts waiting periods and records assignments.
func (d *PlannedDocuments) Current(service chicoryhall.ServiceName) (chicoryhall.DocumentVersion, bool) {
	current, known := d.documents.Current(service)
	if !known {
		return chicoryhall.DocumentVersion{}, false
	}
	return d.withPlannedRanges(current), true
}

// All returns every service's document with planned ranges, ordered by name.
func (d *PlannedDocuments) All() []chicoryhall.DocumentVersion {
	var all []chicoryhall.DocumentVersion
	for _, current := range d.documents.All() {
		all = append(all, d.withPlannedRanges(current))
	}
	return all
}

// Subscribe calls changed with each document that comes into force, with planned ranges.
func (d *PlannedDocuments) Subscribe(changed func(chicoryhall.DocumentVersion)) {
	d.documents.Subscribe(func(current chicoryhall.DocumentVersion) { changed(d.withPlannedRanges(current)) })
}

// withPlannedRanges returns the document with the planned ranges of its endpoints. Each failure
// domain is planned separately and is to hold complete copies of the model, so that no chain has to
// cross domains. Documents that specify the ranges themselves may have chains across domains.
func (d *PlannedDocuments) withPlannedRanges(current chicoryhall.DocumentVersion) chicoryhall.DocumentVersion {
	if current.Document.Kind != chicoryhall.ServicePipeline {
		return current
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.timer.Now()
	wanted := make(map[chicoryhall.EndpointID]LayerSpan)
	for domain, endpoints := range d.byDomain(current.Document, now) {
		d.plan(current.Document, domain, endpoints, now, wanted)
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

// byDomain returns the endpoints that are neither leaving nor dead by failure domain, with the
// layers that they hold or were assigned recently.
func (d *PlannedDocuments) byDomain(document *chicoryhall.Document, now time.Time) map[chicoryhall.FailureDomain][]RangeEndpoint {
	byDomain := make(map[chicoryhall.FailureDomain][]RangeEndpoint)
	for _, endpoint := range document.Endpoints {
		view := d.endpoints.View(endpoint.ID)
		if view.State == chicoryhall.EndpointLeaving || view.State == chicoryhall.EndpointDead {
			continue
		}
		held := LayerSpan{From: endpoint.From, To: endpoint.To}
		if a, ok := d.assignments[endpoint.ID]; ok && a.incarnation == view.Load.Incarnation && now.Sub(a.at) < assignmentLifetime {
			held = a.layers
		}
		byDomain[endpoint.FailureDomain] = append(byDomain[endpoint.FailureDomain], RangeEndpoint{
			ID: endpoint.ID, Accelerator: endpoint.Accelerator, Held: held, Incarnation: view.Load.Incarnation,
		})
	}
	return byDomain
}

// plan adds the ranges of one domain's endpoints to wanted.
func (d *PlannedDocuments) plan(document *chicoryhall.Document, domain chicoryhall.FailureDomain, endpoints []RangeEndpoint, now time.Time,
	wanted map[chicoryhall.EndpointID]LayerSpan,
) {
	for _, endpoint := range endpoints {
		wanted[endpoint.ID] = endpoint.Held
	}
	state := d.observe(document, domain, endpoints, now)
	isComplete := state.incompleteSince.IsZero()
	daemons, known := d.daemons()
	if !known || !isComplete && now.Sub(state.grownAt) < settlePeriod {
		return
	}
	planned := PlanRanges(document, endpoints, daemons)
	if len(planned) == 0 && !isComplete && now.Sub(state.incompleteSince) >= gapGracePeriod {
		planned = RepairRanges(document, endpoints)
	}
	for _, endpoint := range endpoints {
		if layers, ok := planned[endpoint.ID]; ok {
			wanted[endpoint.ID] = layers
			d.assignments[endpoint.ID] = assignment{layers: layers, incarnation: endpoint.Incarnation, at: now}
		}
	}
}

// observe updates the state of a domain.
func (d *PlannedDocuments) observe(document *chicoryhall.Document, domain chicoryhall.FailureDomain, endpoints []RangeEndpoint, now time.Time) domainState {
	key := domainKey{service: document.Service, domain: domain}
	state, known := d.domains[key]
	if !known || state.endpointCount < len(endpoints) {
		state.grownAt = now
	}
	state.endpointCount = len(endpoints)
	switch isComplete := newRangePlan(document, endpoints).firstGap().Len() == 0; {
	case isComplete:
		state.incompleteSince = time.Time{}
	case state.incompleteSince.IsZero():
		state.incompleteSince = now
	}
	d.domains[key] = state
	return state
}
