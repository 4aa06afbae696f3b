package placement

import (
	"slices"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

// Ranged is a chicoryhall.Documents whose endpoints without layers get those that PlanRanges
// wants of them, for engines that start empty.
type Ranged struct {
	documents chicoryhall.Documents
	endpoints chicoryhall.Endpoints
	timer     chicoryhall.Timer

	mu sync.Mutex
	// grown is when each failure domain of a service last got an engine.
	grown map[domainKey]growth
}

// domainKey names one failure domain of one service.
type domainKey struct {
	service chicoryhall.ServiceName
	domain  chicoryhall.FailureDomain
}

// growth is the number of engines of a domain and since when it has not grown.
type growth struct {
	engines int
	since   time.Time
}

// settleTime is how long a domain without a whole copy of the model must not have grown before
// its engines are placed: engines that start together are listed one after another.
const settleTime = 1300 * time.Millisecond

// NewRanged returns the documents with planned ranges.
func NewRanged(documents chicoryhall.Documents, endpoints chicoryhall.Endpoints, timer chicoryhall.Timer) *Ranged {
	return &Ranged{documents: documents, endpoints: endpoints, timer: timer, grown: make(map[domainKey]growth)}
}

// InForce returns the document of one service with planned ranges.
func (r *Ranged) InForce(service chicoryhall.ServiceName) (chicoryhall.InForce, bool) {
	inForce, known := r.documents.InForce(service)
	if !known {
		return chicoryhall.InForce{}, false
	}
	return r.of(inForce), true
}

// All returns every service's document with planned ranges, ordered by name.
func (r *Ranged) All() []chicoryhall.InForce {
	var all []chicoryhall.InForce
	for _, inForce := range r.documents.All() {
		all = append(all, r.of(inForce))
	}
	return all
}

// Subscribe calls changed with each document that comes into force, with planned ranges.
func (r *Ranged) Subscribe(changed func(chicoryhall.InForce)) {
	r.documents.Subscribe(func(inForce chicoryhall.InForce) { changed(r.of(inForce)) })
}

// of plans each failure domain by itself: chains do not cross domains.
func (r *Ranged) of(inForce chicoryhall.InForce) chicoryhall.InForce {
	if inForce.Document.Kind != chicoryhall.ServicePipeline {
		return inForce
	}
	byDomain := make(map[chicoryhall.FailureDomain][]RangeEngine)
	for _, endpoint := range inForce.Document.Endpoints {
		if state := r.endpoints.View(endpoint.ID).State; state == chicoryhall.EndpointLeaving || state == chicoryhall.EndpointDead {
			continue
		}
		engine := RangeEngine{
			ID: endpoint.ID, Accelerator: endpoint.Accelerator, Held: LayerRange{From: endpoint.From, To: endpoint.To},
		}
		byDomain[endpoint.FailureDomain] = append(byDomain[endpoint.FailureDomain], engine)
	}
	planned := *inForce.Document
	planned.Endpoints = slices.Clone(planned.Endpoints)
	for domain, engines := range byDomain {
		if !r.isSettled(inForce.Document, domain, engines) {
			continue
		}
		fill(planned.Endpoints, domain, PlanRanges(&planned, engines))
	}
	inForce.Document = &planned
	return inForce
}

// isSettled tells whether the engines of a domain may be placed now.
func (r *Ranged) isSettled(document *chicoryhall.Document, domain chicoryhall.FailureDomain, engines []RangeEngine) bool {
	var held []chicoryhall.Holding
	for _, engine := range engines {
		held = append(held, chicoryhall.Holding{From: engine.Held.From, To: engine.Held.To})
	}
	now := r.timer.Now()
	key := domainKey{service: document.Service, domain: domain}
	r.mu.Lock()
	defer r.mu.Unlock()
	if before, known := r.grown[key]; !known || before.engines < len(engines) {
		r.grown[key] = growth{engines: len(engines), since: now}
	} else {
		r.grown[key] = growth{engines: len(engines), since: before.since}
	}
	return covers(held, document.Model.Layers) || now.Sub(r.grown[key].since) >= settleTime
}

// fill gives the endpoints of one domain the ranges that were planned for them.
func fill(endpoints []chicoryhall.DocumentEndpoint, domain chicoryhall.FailureDomain, planned map[chicoryhall.EngineID]LayerRange) {
	for i := range endpoints {
		if wanted, ok := planned[endpoints[i].ID]; ok && endpoints[i].FailureDomain == domain {
			endpoints[i].From, endpoints[i].To = wanted.From, wanted.To
		}
	}
}
