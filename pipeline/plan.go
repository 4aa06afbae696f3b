package pipeline

import (
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// engine is one endpoint that may get new work.
type engine struct {
	id      chicoryhall.EndpointID
	address string
	domain  int
	speed   speed
}

// group is the engines of one failure domain and kind that hold the same layers.
type group struct {
	// from and to index plan.cuts.
	from    int
	to      int
	domain  int
	speed   speed
	engines []int
}

// plan is a service's document joined with the endpoints that may get new work.
type plan struct {
	document *chicoryhall.Document
	built    time.Time
	layers   int
	// cuts are the layer boundaries at which a route may change engines, ascending.
	cuts    []int
	domains []chicoryhall.FailureDomain
	engines []engine
	byID    map[chicoryhall.EndpointID]int
	groups  []group
	links   [][]link
}

// rangeKey tells groups apart while a plan is built.
type rangeKey struct {
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
		document: document,
		built:    now,
		layers:   layersOf(document),
		byID:     make(map[chicoryhall.EndpointID]int, len(document.Endpoints)),
	}
	speeds := speedsOf(document)
	ranges := make(map[rangeKey][]int)
	for _, endpoint := range document.Endpoints {
		domain := p.domainIndex(endpoint.FailureDomain)
		seen := view(endpoint.ID)
		if seen.State != chicoryhall.EndpointReady {
			continue
		}
		index := len(p.engines)
		p.byID[endpoint.ID] = index
		p.engines = append(p.engines, engine{
			id: endpoint.ID, address: endpoint.Address, domain: domain, speed: speeds.of(endpoint.Accelerator),
		})
		for _, held := range heldRanges(document, endpoint, seen.Load) {
			key := rangeKey{from: held.From, to: held.To, domain: domain, kind: endpoint.Accelerator}
			ranges[key] = append(ranges[key], index)
		}
	}
	p.setGroups(ranges)
	p.links = linksOf(document, p.domains)
	return p
}

// heldRanges returns the layers that an endpoint holds by its report, else by the document.
func heldRanges(document *chicoryhall.Document, endpoint chicoryhall.DocumentEndpoint, load chicoryhall.LoadReport) []LayerRange {
	if document.Kind == chicoryhall.ServicePlain {
		return []LayerRange{{From: 0, To: 1}}
	}
	if load.Endpoint == "" {
		return clip([]LayerRange{{From: endpoint.From, To: endpoint.To}}, document.Model.Layers)
	}
	var held []LayerRange
	for _, holding := range load.LoadedLayers {
		if holding.Model == document.Model.Name && holding.Version == document.Model.Version {
			held = append(held, LayerRange{From: holding.From, To: holding.To})
		}
	}
	return clip(held, document.Model.Layers)
}

// clip cuts ranges to [0,layers) and drops empty ones.
func clip(ranges []LayerRange, layers int) []LayerRange {
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
func (p *plan) setGroups(ranges map[rangeKey][]int) {
	p.cuts = []int{0, p.layers}
	for key, members := range ranges {
		p.cuts = append(p.cuts, key.from, key.to)
		p.groups = append(p.groups, group{
			from: key.from, to: key.to, domain: key.domain, speed: p.engines[members[0]].speed, engines: members,
		})
	}
	slices.Sort(p.cuts)
	p.cuts = slices.Compact(p.cuts)
	for i := range p.groups {
		p.groups[i].from, _ = slices.BinarySearch(p.cuts, p.groups[i].from)
		p.groups[i].to, _ = slices.BinarySearch(p.cuts, p.groups[i].to)
	}
	slices.SortFunc(p.groups, func(a, b group) int {
		if a.from != b.from {
			return a.from - b.from
		}
		return a.engines[0] - b.engines[0]
	})
}

// uncovered returns the layers of [from,to) that no group with a usable engine holds.
func (p *plan) uncovered(from, to int, usable func(g *group) bool) []LayerRange {
	var missing []LayerRange
	for i := 0; i+1 < len(p.cuts); i++ {
		piece := LayerRange{From: max(from, p.cuts[i]), To: min(to, p.cuts[i+1])}
		if piece.From >= piece.To || p.coversPiece(i, usable) {
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

// coversPiece reports whether a usable group holds the layers between two neighbouring cuts.
func (p *plan) coversPiece(cut int, usable func(g *group) bool) bool {
	return slices.ContainsFunc(p.groups, func(g group) bool {
		return g.from <= cut && cut < g.to && usable(&g)
	})
}

// sameCapacity reports whether the flows of one plan are valid for another.
func (p *plan) sameCapacity(other *plan) bool {
	return p.document == other.document && slices.Equal(p.cuts, other.cuts) &&
		slices.EqualFunc(p.groups, other.groups, func(a, b group) bool {
			return a.from == b.from && a.to == b.to && a.domain == b.domain && a.speed == b.speed &&
				slices.Equal(a.engines, b.engines)
		})
}
