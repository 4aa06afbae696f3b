package placement

import (
	"slices"

	"chicoryhall.example/chicoryhall"
)

// Ranged is a chicoryhall.Documents whose endpoints without layers get those that PlanRanges
// wants of them, for engines that start empty.
type Ranged struct {
	documents chicoryhall.Documents
	endpoints chicoryhall.Endpoints
}

// NewRanged returns the documents with planned ranges.
func NewRanged(documents chicoryhall.Documents, endpoints chicoryhall.Endpoints) *Ranged {
	return &Ranged{documents: documents, endpoints: endpoints}
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
		fill(planned.Endpoints, domain, PlanRanges(&planned, engines))
	}
	inForce.Document = &planned
	return inForce
}

// fill gives the endpoints of one domain the ranges that were planned for them.
func fill(endpoints []chicoryhall.DocumentEndpoint, domain chicoryhall.FailureDomain, planned map[chicoryhall.EngineID]LayerRange) {
	for i := range endpoints {
		if wanted, ok := planned[endpoints[i].ID]; ok && endpoints[i].FailureDomain == domain {
			endpoints[i].From, endpoints[i].To = wanted.From, wanted.To
		}
	}
}
