package pipeline

import (
	"math"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// hop is one stage of a route with what its cost depends on.
type hop struct {
	chicoryhall.Hop
	domain  int
	timings timings
	load    load
}

// reusableHops returns the stages of the last attempt that may go on, in layer order.
func (s *search) reusableHops(query *chicoryhall.RouteQuery) []hop {
	var kept []hop
	for _, stage := range query.CachedHops {
		if slices.Contains(query.Exclude, stage.Engine) {
			continue
		}
		if h, ok := s.reusableHop(stage, query.LastAttempt); ok {
			kept = append(kept, h)
		}
	}
	slices.SortFunc(kept, func(a, b hop) int { return a.From - b.From })
	if !s.fitsPlan(kept) {
		return nil
	}
	for _, h := range kept {
		s.exclude(h.Engine)
	}
	return kept
}

// reusableHop returns a stage that goes on under the next attempt; an endpoint that is leaving may
// finish its streams.
func (s *search) reusableHop(stage chicoryhall.Hop, attempt int) (hop, bool) {
	endpoint, ok := endpointOf(s.plan.document, stage.Engine)
	if !ok {
		return hop{}, false
	}
	seen := s.view(stage.Engine)
	if seen.State != chicoryhall.EndpointReady && seen.State != chicoryhall.EndpointLeaving {
		return hop{}, false
	}
	holds := slices.ContainsFunc(loadedSpans(s.plan.document, endpoint, seen.Load), func(r LayerSpan) bool {
		return r.From <= stage.From && stage.To <= r.To
	})
	if !holds {
		return hop{}, false
	}
	stage.ReuseKV = true
	stage.ImportFrom = ""
	stage.ImportAttempt = attempt
	return hop{
		Hop:     stage,
		domain:  s.domainIndex(endpoint.FailureDomain),
		timings: timingsOf(s.plan.document).of(endpoint.Accelerator),
		load:    loadOf(seen),
	}, true
}

func endpointOf(document *chicoryhall.Document, id chicoryhall.EndpointID) (chicoryhall.DocumentEndpoint, bool) {
	index := slices.IndexFunc(document.Endpoints, func(e chicoryhall.DocumentEndpoint) bool { return e.ID == id })
	if index < 0 {
		return chicoryhall.DocumentEndpoint{}, false
	}
	return document.Endpoints[index], true
}

// fitsPlan reports whether kept stages lie inside the model, do not overlap and begin and end
// at cuts of the plan.
func (s *search) fitsPlan(kept []hop) bool {
	covered := 0
	for _, h := range kept {
		_, fromCut := slices.BinarySearch(s.plan.boundaries, h.From)
		_, toCut := slices.BinarySearch(s.plan.boundaries, h.To)
		if h.From < covered || h.To > s.plan.layers || h.From >= h.To || !fromCut || !toCut {
			return false
		}
		covered = h.To
	}
	return true
}

// domainIndex returns the index of a domain, or of the first one when the plan does not know it.
func (s *search) domainIndex(domain chicoryhall.FailureDomain) int {
	return max(0, slices.Index(s.plan.domains, domain))
}

// completeChain completes kept stages to a whole chain.
func (s *search) completeChain(kept []hop, query *chicoryhall.RouteQuery) ([]hop, bool) {
	if len(s.plan.groups) == 0 {
		return nil, false
	}
	s.pickCandidates()
	hops := make([]hop, 0, len(kept)+len(s.plan.boundaries))
	before := s.domainIndex(query.FailureDomain)
	covered := 0
	for _, next := range kept {
		var ok bool
		if hops, ok = s.fillGap(hops, covered, next.From, before, next.domain); !ok {
			return nil, false
		}
		hops = append(hops, next)
		before, covered = next.domain, next.To
	}
	return s.fillGap(hops, covered, s.plan.layers, before, -1)
}

// fillGap appends new hops for the layers [from,to).
func (s *search) fillGap(hops []hop, from, to, before, after int) ([]hop, bool) {
	if from == to {
		return hops, true
	}
	start, _ := slices.BinarySearch(s.plan.boundaries, from)
	end, _ := slices.BinarySearch(s.plan.boundaries, to)
	for range maxGapSearches {
		way, ok := s.choosePath(start, end, before, after)
		if !ok {
			return nil, false
		}
		way, again := s.mergeRepeats(way)
		if again {
			continue
		}
		for _, piece := range way {
			hops = append(hops, s.newHop(piece))
		}
		return hops, true
	}
	return nil, false
}

// maxGapSearches bounds how often a way is searched again because it met an engine twice.
const maxGapSearches = 4

// mergeRepeats makes one hop of an engine that a way meets twice. Where the engine does not hold
// the layers between, it withdraws the later group's offer and asks for a new search.
func (s *search) mergeRepeats(way []pathHop) ([]pathHop, bool) {
	for i := 0; i < len(way); i++ {
		for j := len(way) - 1; j > i; j-- {
			if s.candidates[way[j].group].endpoint != s.candidates[way[i].group].endpoint {
				continue
			}
			if way[j].group != way[i].group {
				s.candidates[way[j].group].usable = false
				return nil, true
			}
			way[i].to = way[j].to
			way = slices.Delete(way, i+1, j+1)
			break
		}
	}
	return way, false
}

func (s *search) newHop(piece pathHop) hop {
	chosen := s.plan.endpoints[s.candidates[piece.group].endpoint]
	h := hop{
		Hop: chicoryhall.Hop{
			Engine: chosen.id, Address: chosen.address,
			From: s.plan.boundaries[piece.from], To: s.plan.boundaries[piece.to],
		},
		domain:  chosen.domain,
		timings: chosen.timings,
		load:    s.candidates[piece.group].load,
	}
	return h
}

// buildRoute turns hops into the answer with its expected times.
func (s *search) buildRoute(hops []hop, query *chicoryhall.RouteQuery) chicoryhall.Route {
	s.chooseImports(hops, query)
	route := chicoryhall.Route{Hops: make([]chicoryhall.Hop, 0, len(hops))}
	first, between := 0.0, 0.0
	before := s.domainIndex(query.FailureDomain)
	for i := range hops {
		h := &hops[i]
		between += s.tokenTime(h.timings, h.load, h.To-h.From) + s.plan.links[before][h.domain].transferTime(s.activationBytes)
		first += s.kvBuildTime(hops, i, query)
		before = h.domain
		route.Hops = append(route.Hops, s.wireHop(h.Hop))
	}
	route.TimeToFirstToken = time.Duration(math.Round(first + between))
	route.TimePerToken = time.Duration(math.Round(between))
	return route
}

// wireHop gives the hop of a plain service the empty layer range.
func (s *search) wireHop(h chicoryhall.Hop) chicoryhall.Hop {
	if s.plan.document.Kind == chicoryhall.ServicePlain {
		h.From, h.To = 0, 0
	}
	return h
}
