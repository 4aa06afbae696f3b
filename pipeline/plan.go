package pipeline

import (
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// readyEndpoint is one endpoint that may get new work.
type readyEndpoint struct {
	id      chicoryhall.EndpointID
	address string
	domain  int
	timings timings
}

// group is the engines of one failure domain and kind that hold the same layers.
type group struct {
	// from and to index plan.cuts.
	from    int
	to      int
	domain  int
	speed   timings
	engines []int
}

// plan is a service's document joined with the endpoints that may get new work.
type plan struct {
	document *chicoryhall.Document
	builtAt  time.Time
	layers   int
	// boundaries are the layer boundaries at which a route may change engines, ascending.
	boundaries []int
	domains    []chicoryhall.FailureDomain
	endpoints  []readyEndpoint
	indexByID  map[chicoryhall.EndpointID]int
	groups     []group
	links      [][]link
}

// groupKey tells groups apart while a plan is built.
type groupKey struct {
	from   int
	to     int
	domain int
	kind   chicoryhall.AcceleratorKind
}

// layersOf returns the number of layers that a route covers; a plain service counts as one.
func layersOf(document *chicoryhall.Document) int {
	if document.Kind == chicoryhall.ServicePlain {
		return 1
	}
	return document.Model.Layers
}

// newPlan joins the document with what view tells of each endpoint.
func newPlan(document *chicoryhall.Document, view func(chicoryhall.EndpointID) chicoryhall.EndpointView, now time.Time) *plan {
	p := &plan{
		document:  document,
		builtAt:   now,
		layers:    layersOf(document),
		indexByID: make(map[chicoryhall.EndpointID]int, len(document.Endpoints)),
	}
	speeds := timingsOf(document)
	ranges := make(map[groupKey][]int)
	for _, endpoint := range document.Endpoints {
		domain := p.domainIndex(endpoint.FailureDomain)
		seen := view(endpoint.ID)
		if seen.State != chicoryhall.EndpointReady {
			continue
		}
		index := len(p.endpoints)
		p.indexByID[endpoint.ID] = index
		p.endpoints = append(p.endpoints, readyEndpoint{
			id: endpoint.ID, address: endpoint.Address, domain: domain, timings: speeds.of(endpoint.Accelerator),
		})
		for _, held := range loadedSpans(document, endpoint, seen.Load) {
			key := groupKey{from: held.From, to: held.To, domain: domain, kind: endpoint.Accelerator}
			ranges[key] = append(ranges[key], index)
		}
	}
	p.setGroups(ranges)
	p.links = linksOf(document, p.domains)
	return p
}

// loadedSpans returns the layers that an endpoint holds by its report, else by the document.
func loadedSpans(document *chicoryhall.Document, endpoint chicoryhall.DocumentEndpoint, load chicoryhall.LoadReport) []LayerSpan {
	if document.Kind == chicoryhall.ServicePlain {
		return []LayerSpan{{From: 0, To: 1}}
	}
	if load.Endpoint == "" {
		return clip([]LayerSpan{{From: endpoint.From, To: endpoint.To}}, document.Model.Layers)
	}
	var held []LayerSpan
	for _, holding := range load.LoadedLayers {
		if holding.Model == document.Model.Name && holding.Version == document.Model.Version {
			held = append(held, LayerSpan{From: holding.From, To: holding.To})
		}
	}
	return clip(held, document.Model.Layers)
}

// clip cuts ranges to [0,layers) and drops empty ones.
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

// domainIndex returns the index of a failure domain and adds it when it is new.
func (p *plan) domainIndex(domain chicoryhall.FailureDomain) int {
	if i := slices.Index(p.domains, domain); i >= 0 {
		return i
	}
	p.domains = append(p.domains, domain)
	return len(p.domains) - 1
}

// setGroups orders the groups and the cuts that follow from their ranges.
func (p *plan) setGroups(ranges map[groupKey][]int) {
	p.boundaries = []int{0, p.layers}
	for key, members := range ranges {
		p.boundaries = append(p.boundaries, key.from, key.to)
		p.groups = append(p.groups, group{
			from: key.from, to: key.to, domain: key.domain, speed: p.endpoints[members[0]].timings, engines: members,
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
		return a.engines[0] - b.engines[0]
	})
}

// uncovered returns the layers of [from,to) that no group with a usable engine holds.
func (p *plan) uncovered(from, to int, usable func(g *group) bool) []LayerSpan {
	var missing []LayerSpan
	for i := 0; i+1 < len(p.boundaries); i++ {
		piece := LayerSpan{From: max(from, p.boundaries[i]), To: min(to, p.boundaries[i+1])}
		if piece.From >= piece.To || p.isCovered(i, usable) {
			continue
		}
		if last := len(missing) - 1; last >= 0 && missing[last].To == piece.From {
			missing[last].To = piece.To
			continue
		}
		missing = append(missing, piece)
	}
	return missing
}

// isCovered reports whether a usable group holds the layers between two neighbouring cuts.
func (p *plan) isCovered(cut int, usable func(g *group) bool) bool {
	return slices.ContainsFunc(p.groups, func(g group) bool {
		return g.from <= cut && cut < g.to && usable(&g)
	})
}

// sameCapacity reports whether the flows of one plan are valid for another.
func (p *plan) sameCapacity(other *plan) bool {
	return p.document == other.document && slices.Equal(p.boundaries, other.boundaries) &&
		slices.EqualFunc(p.groups, other.groups, func(a, b group) bool {
			return a.from == b.from && a.to == b.to && a.domain == b.domain && a.speed == b.speed &&
				slices.Equal(a.engines, b.engines)
		})
}
