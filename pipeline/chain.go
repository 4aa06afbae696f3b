package pipeline

import (
	"math"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// hop is a hop of a route with the data that its cost depends on.
type hop struct {
	chicoryhall.Hop
	domain  int
	timings timings
	load    load
}

// reusableHops returns the hops of the last attempt whose endpoints can keep their KV and go on
// with the request, in layer order. It excludes their endpoints from new hops.
func (s *search) reusableHops(query *chicoryhall.RouteQuery) []hop {
	var reused []hop
	for _, cached := range query.CachedHops {
		if slices.Contains(query.Exclude, cached.Engine) {
			continue
		}
		if h, ok := s.reusableHop(cached, query.LastAttempt); ok {
			reused = append(reused, h)
		}
	}
	slices.SortFunc(reused, func(a, b hop) int { return a.From - b.From })
	if !s.fitsPlan(reused) {
		return nil
	}
	for _, h := range reused {
		s.exclude(h.Engine)
	}
	return reused
}

// reusableHop returns a hop of the last attempt for the next one, if its endpoint still holds the
// layers and is ready or leaving. An endpoint that is leaving may finish its streams.
func (s *search) reusableHop(cached chicoryhall.Hop, attempt int) (hop, bool) {
	endpoint, ok := endpointOf(s.plan.document, cached.Engine)
	if !ok {
		return hop{}, false
	}
	current := s.view(cached.Engine)
	if current.State != chicoryhall.EndpointReady && current.State != chicoryhall.EndpointLeaving {
		return hop{}, false
	}
	holds := slices.ContainsFunc(loadedSpans(s.plan.document, endpoint, current.Load), func(r LayerSpan) bool {
		return r.From <= cached.From && cached.To <= r.To
	})
	if !holds {
		return hop{}, false
	}
	cached.ReuseKV = true
	cached.ImportFrom = ""
	cached.ImportAttempt = attempt
	return hop{
		Hop:     cached,
		domain:  s.domainIndexOrFirst(endpoint.FailureDomain),
		timings: timingsOf(s.plan.document).of(endpoint.Accelerator),
		load:    loadOf(current),
	}, true
}

func endpointOf(document *chicoryhall.Document, id chicoryhall.EndpointID) (chicoryhall.DocumentEndpoint, bool) {
	index := slices.IndexFunc(document.Endpoints, func(e chicoryhall.DocumentEndpoint) bool { return e.ID == id })
	if index < 0 {
		return chicoryhall.DocumentEndpoint{}, false
	}
	return document.Endpoints[index], true
}

// fitsPlan reports whether the hops lie within the model, do not overlap, and begin and end at
// boundaries of the plan.
func (s *search) fitsPlan(reused []hop) bool {
	covered := 0
	for _, h := range reused {
		_, fromFound := slices.BinarySearch(s.plan.boundaries, h.From)
		_, toFound := slices.BinarySearch(s.plan.boundaries, h.To)
		if h.From < covered || h.To > s.plan.layers || h.From >= h.To || !fromFound || !toFound {
			return false
		}
		covered = h.To
	}
	return true
}

// domainIndexOrFirst returns the index of a failure domain in the plan. A domain in which the
// document has no endpoint has no index; the first domain stands in for it, because the plan has
// links only between its own domains.
func (s *search) domainIndexOrFirst(domain chicoryhall.FailureDomain) int {
	return max(0, slices.Index(s.plan.domains, domain))
}

// completeChain adds new hops for the layers that the reused hops do not cover. It returns false if
// a gap cannot be filled.
func (s *search) completeChain(reused []hop, query *chicoryhall.RouteQuery) ([]hop, bool) {
	if len(s.plan.groups) == 0 {
		return nil, false
	}
	s.pickCandidates()
	hops := make([]hop, 0, len(reused)+len(s.plan.boundaries))
	before := s.domainIndexOrFirst(query.FailureDomain)
	covered := 0
	for _, next := range reused {
		var ok bool
		first := len(hops)
		if hops, ok = s.fillGap(hops, covered, next.From, before, next.domain); !ok {
			return nil, false
		}
		s.keepFromLaterGaps(hops[first:])
		hops = append(hops, next)
		before, covered = next.domain, next.To
	}
	return s.fillGap(hops, covered, s.plan.layers, before, anyDomain)
}

// keepFromLaterGaps keeps the endpoints of new hops out of the gaps that are still to be filled: a route uses each endpoint once.
func (s *search) keepFromLaterGaps(hops []hop) {
	if len(hops) == 0 {
		return
	}
	for _, h := range hops {
		s.exclude(h.Engine)
	}
	s.pickCandidates()
}

// fillGap appends new hops for the layers [from,to). The parameters before and after are the
// indexes of the failure domains of the hops (or the daemon) next to the gap; after is anyDomain
// behind the last hop.
func (s *search) fillGap(hops []hop, from, to, before, after int) ([]hop, bool) {
	if from == to {
		return hops, true
	}
	start, _ := slices.BinarySearch(s.plan.boundaries, from)
	end, _ := slices.BinarySearch(s.plan.boundaries, to)
	for range maxGapSearches {
		path, ok := s.choosePath(start, end, before, after)
		if !ok {
			return nil, false
		}
		path, again := s.mergeRepeats(path)
		if again {
			continue
		}
		for _, p := range path {
			hops = append(hops, s.newHop(p))
		}
		return hops, true
	}
	return nil, false
}

// maxGapSearches bounds how often a path for a gap is searched. A search is repeated if the path
// uses an endpoint in two groups.
const maxGapSearches = 4

// mergeRepeats merges hops of a path that use the same endpoint in the same group into one, and
// removes the hops between them: the endpoint holds the layers between them too. If an endpoint is used in two groups, it makes the later group's
// candidate unusable and returns true: the path has to be searched again.
func (s *search) mergeRepeats(path []pathHop) ([]pathHop, bool) {
	for i := 0; i < len(path); i++ {
		for j := len(path) - 1; j > i; j-- {
			if s.candidates[path[j].group].endpoint != s.candidates[path[i].group].endpoint {
				continue
			}
			if path[j].group != path[i].group {
				s.candidates[path[j].group].usable = false
				return nil, true
			}
			path[i].to = path[j].to
			path = slices.Delete(path, i+1, j+1)
			break
		}
	}
	return path, false
}

func (s *search) newHop(p pathHop) hop {
	chosen := s.plan.endpoints[s.candidates[p.group].endpoint]
	h := hop{
		Hop: chicoryhall.Hop{
			Engine: chosen.id, Address: chosen.address,
			From: s.plan.boundaries[p.from], To: s.plan.boundaries[p.to],
		},
		domain:  chosen.domain,
		timings: chosen.timings,
		load:    s.candidates[p.group].load,
	}
	return h
}

// buildRoute returns the route over the given hops with its expected times. The link from the
// daemon to the first hop is counted like the others, with one activation for each token, whereas
// entryCost counts only its delay.
func (s *search) buildRoute(hops []hop, query *chicoryhall.RouteQuery) chicoryhall.Route {
	s.chooseImports(hops, query)
	route := chicoryhall.Route{Hops: make([]chicoryhall.Hop, 0, len(hops))}
	kvBuildTime, timePerToken := 0.0, 0.0
	before := s.domainIndexOrFirst(query.FailureDomain)
	for i := range hops {
		h := &hops[i]
		timePerToken += s.tokenTime(h.timings, h.load, h.To-h.From) + s.plan.links[before][h.domain].transferTime(s.activationBytes)
		kvBuildTime += s.kvBuildTime(hops, i, query)
		before = h.domain
		route.Hops = append(route.Hops, s.wireHop(h.Hop))
	}
	route.TimeToFirstToken = time.Duration(math.Round(kvBuildTime + timePerToken))
	route.TimePerToken = time.Duration(math.Round(timePerToken))
	return route
}

// wireHop sets the layer range of a plain service's hop to empty.
func (s *search) wireHop(h chicoryhall.Hop) chicoryhall.Hop {
	if s.plan.document.Kind == chicoryhall.ServicePlain {
		h.From, h.To = 0, 0
	}
	return h
}
