package pipeline

import (
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// readyEndpoint is an endpoint that may get new work.
type readyEndpoint struct {
	id      chicoryhall.EndpointID
	address string
	domain  int
	timings timings
}

// group is the ready endpoints of one failure domain and accelerator kind that hold the same
// layers.
type group struct {
	// from and to are indexes into plan.boundaries, and endpoints into plan.endpoints.
	from      int
	to        int
	domain    int
	timings   timings
	endpoints []int
}

// plan is a service's document combined with the endpoints that may get new work.
type plan struct {
	document *chicoryhall.Document
	builtAt  time.Time
	layers   int
	// boundaries are the layer boundaries at which a route may change endpoints, ascending.
	boundaries []int
	domains    []chicoryhall.FailureDomain
	endpoints  []readyEndpoint
	indexByID  map[chicoryhall.EndpointID]int
	groups     []group
	links      [][]link
}

// groupKey identifies a group while a plan is built. Its from and to are layers.
type groupKey struct {
	from   int
	to     int
	domain int
	kind   chicoryhall.AcceleratorKind
}

// layersOf returns the number of layers that a route covers; a plain service has one.
func layersOf(document *chicoryhall.Document) int {
	if document.Kind == chicoryhall.ServicePlain {
		return 1
	}
	return document.Model.Layers
}

// newPlan combines the document with the current view of each endpoint.
func newPlan(document *chicoryhall.Document, view func(chicoryhall.EndpointID) chicoryhall.EndpointView, now time.Time) *plan {
	p := &plan{
		document:  document,
		builtAt:   now,
		layers:    layersOf(document),
		indexByID: make(map[chicoryhall.EndpointID]int, len(document.Endpoints)),
	}
	byKind := timingsOf(document)
	members := make(map[groupKey][]int)
	for _, endpoint := range document.Endpoints {
		domain := p.domainIndex(endpoint.FailureDomain)
		current := view(endpoint.ID)
		if current.State != chicoryhall.EndpointReady {
			continue
		}
		index := len(p.endpoints)
		p.indexByID[endpoint.ID] = index
		p.endpoints = append(p.endpoints, readyEndpoint{
			id: endpoint.ID, address: endpoint.Address, domain: domain, timings: byKind.of(endpoint.Accelerator),
		})
		for _, loaded := range loadedSpans(document, endpoint, current.Load) {
			key := groupKey{from: loaded.From, to: loaded.To, domain: domain, kind: endpoint.Accelerator}
			members[key] = append(members[key], index)
		}
	}
	p.setGroups(members)
	p.links = linksOf(document, p.domains)
	return p
}

// loadedSpans returns the layers that an endpoint holds: according to its report, or to the
// document if there is none.
func loadedSpans(document *chicoryhall.Document, endpoint chicoryhall.DocumentEndpoint, load chicoryhall.LoadReport) []LayerSpan {
	if document.Kind == chicoryhall.ServicePlain {
		return []LayerSpan{{From: 0, To: 1}}
	}
	if load.Endpoint == "" {
		return clip([]LayerSpan{{From: endpoint.From, To: endpoint.To}}, document.Model.Layers)
	}
	var loaded []LayerSpan
	for _, holding := range load.LoadedLayers {
		if holding.Model == document.Model.Name && holding.Version == document.Model.Version {
			loaded = append(loaded, LayerSpan{From: holding.From, To: holding.To})
		}
	}
	return clip(loaded, document.Model.Layers)
}

// clip limits ranges to [0,layers) and drops empty ones.
func clip(ranges []LayerSpan, layers int) []LayerSpan {
	kept := ranges[:0]
	for _, r := range ranges {
		r.From = max(0, r.From)
		r.To = min(layers, r.To)
		if r.From < r.To {
			kept = append(kept, r)
		}
	}
	return kept
}

// domainIndex returns the index of a failure domain, which it adds if it is new.
func (p *plan) domainIndex(domain chicoryhall.FailureDomain) int {
	if i := slices.Index(p.domains, domain); i >= 0 {
		return i
	}
	p.domains = append(p.domains, domain)
	return len(p.domains) - 1
}

// setGroups sets the groups, given the indexes of their endpoints, and the boundaries of their
// layer ranges. Both are sorted.
func (p *plan) setGroups(members map[groupKey][]int) {
	p.boundaries = []int{0, p.layers}
	for key, indexes := range members {
		p.boundaries = append(p.boundaries, key.from, key.to)
		p.groups = append(p.groups, group{
			from: key.from, to: key.to, domain: key.domain, timings: p.endpoints[indexes[0]].timings, endpoints: indexes,
		})
	}
	slices.Sort(p.boundaries)
	p.boundaries = slices.Compact(p.boundaries)
	for i := range p.groups {
		p.groups[i].from, _ = slices.BinarySearch(p.boundaries, p.groups[i].from)
		p.groups[i].to, _ = slices.BinarySearch(p.boundaries, p.groups[i].to)
	}
	slices.SortFunc(p.groups, func(a, b group) int {
		if a.from != b.from {
			return a.from - b.from
		}
		return a.endpoints[0] - b.endpoints[0]
	})
}

// uncovered returns the layers of [from,to) that no group with a usable endpoint holds.
func (p *plan) uncovered(from, to int, usable func(g *group) bool) []LayerSpan {
	var missing []LayerSpan
	for i := 0; i+1 < len(p.boundaries); i++ {
		span := LayerSpan{From: max(from, p.boundaries[i]), To: min(to, p.boundaries[i+1])}
		if span.From >= span.To || p.isCovered(i, usable) {
			continue
		}
		if last := len(missing) - 1; last >= 0 && missing[last].To == span.From {
			missing[last].To = span.To
			continue
		}
		missing = append(missing, span)
	}
	return missing
}

// isCovered reports whether a usable group holds the layers between a boundary and the next one.
func (p *plan) isCovered(boundary int, usable func(g *group) bool) bool {
	return slices.ContainsFunc(p.groups, func(g group) bool {
		return g.from <= boundary && boundary < g.to && usable(&g)
	})
}

// sameCapacity reports whether the maximum flow of one plan is valid for another.
func (p *plan) sameCapacity(other *plan) bool {
	return p.document == other.document && slices.Equal(p.boundaries, other.boundaries) &&
		slices.EqualFunc(p.groups, other.groups, func(a, b group) bool {
			return a.from == b.from && a.to == b.to && a.domain == b.domain && a.timings == b.timings &&
				slices.Equal(a.endpoints, b.endpoints)
		})
}
