package pipeline

import (
	"slices"

	"chicoryhall.example/chicoryhall"
)

// chooseImports lets new hops import KV from endpoints of the last attempt that are excluded from
// the route but still hold it, if that is faster than prefill. An endpoint that is excluded, for
// example because it is leaving, can still export KV.
func (s *search) chooseImports(hops []hop, query *chicoryhall.RouteQuery) {
	if len(query.CachedHops) == 0 {
		return
	}
	for i := range hops {
		if hops[i].ReuseKV {
			continue
		}
		exporter, ok := s.exporterOf(hops[i], query)
		if !ok {
			continue
		}
		if s.importTime(hops[i], exporter, query) < s.prefillTimeUpTo(hops, i, query) {
			hops[i].ImportFrom = exporter.Address
			hops[i].ImportAttempt = query.LastAttempt
		}
	}
}

// exporterOf returns a hop of the last attempt that holds the KV of hop h and whose endpoint is
// excluded from the route but ready or leaving.
func (s *search) exporterOf(h hop, query *chicoryhall.RouteQuery) (hop, bool) {
	for _, cached := range query.CachedHops {
		if cached.From > h.From || cached.To < h.To || !slices.Contains(query.Exclude, cached.Engine) {
			continue
		}
		endpoint, known := endpointOf(s.plan.document, cached.Engine)
		state := s.view(cached.Engine).State
		if known && (state == chicoryhall.EndpointReady || state == chicoryhall.EndpointLeaving) {
			return hop{Hop: cached, domain: s.domainIndexOrFirst(endpoint.FailureDomain)}, true
		}
	}
	return hop{}, false
}

// importTime returns the expected time to fetch the hop's KV from an exporter, in nanoseconds.
func (s *search) importTime(h, exporter hop, query *chicoryhall.RouteQuery) float64 {
	bytes := float64(s.plan.document.Model.KVBytes) * float64(h.To-h.From) * float64(query.Positions)
	request := s.plan.links[h.domain][exporter.domain].delay
	return request + s.plan.links[exporter.domain][h.domain].transferTime(bytes)
}

// prefillTimeUpTo returns the expected time to rebuild the KV of the hop at index. The hops before
// it run again too, because their outputs are its inputs.
func (s *search) prefillTimeUpTo(hops []hop, index int, query *chicoryhall.RouteQuery) float64 {
	total := 0.0
	for i := 0; i <= index; i++ {
		total += hops[i].timings.prefillTime(hops[i].To-hops[i].From, query.Positions)
	}
	return total
}

// kvBuildTime returns the time until one hop is ready for the next token: to import its KV, or to
// build it by prefill over the query's positions, which are the tokens of the prompt and of the
// answer so far. A hop that reuses its KV runs these tokens again only to produce the inputs of a
// later hop that prefills.
func (s *search) kvBuildTime(hops []hop, index int, query *chicoryhall.RouteQuery) float64 {
	h := hops[index]
	switch {
	case h.ImportFrom != "":
		exporter, _ := s.exporterOf(h, query)
		return s.importTime(h, exporter, query)
	case h.ReuseKV && !prefillsLater(hops, index):
		return 0
	default:
		return h.timings.prefillTime(h.To-h.From, query.Positions)
	}
}

// prefillsLater reports whether a later hop rebuilds its KV by prefill.
func prefillsLater(hops []hop, index int) bool {
	return slices.ContainsFunc(hops[index+1:], func(h hop) bool { return !h.ReuseKV && h.ImportFrom == "" })
}
