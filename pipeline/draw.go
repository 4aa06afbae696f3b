package pipeline

import "math"

// sampledPaths is the number of ways drawn by their share of the flow for one whole route.
const sampledPaths = 2

// replacementCostRatio is the share of the first drawn way's cost below which another one replaces it:
// late reports differ by less than that without meaning.
const replacementCostRatio = 0.6

// choosePath returns the hops for the layers between two cuts. A whole route is a choosePath drawn by its share
// of the maximum flow, or another drawn one that is clearly cheaper; a gap, and a route for which the drawn ways
// cannot be used, is the shortest path.
func (s *search) choosePath(start, end, before, after int) ([]pathHop, bool) {
	if start == 0 && end == len(s.plan.boundaries)-1 && len(s.flows) > 0 {
		if drawn, ok := s.sampleFlowPath(before); ok {
			s.pathFinder.hops = append(s.pathFinder.hops[:0], drawn...)
			return s.pathFinder.hops, true
		}
	}
	way, _, ok := s.cheapestPath(s, start, end, before, after)
	return way, ok
}

// sampleFlowPath returns a way drawn by the rates, unless another drawn one is clearly cheaper.
func (s *search) sampleFlowPath(before int) ([]pathHop, bool) {
	var best []pathHop
	limit := math.Inf(1)
	for range sampledPaths {
		way := s.drawPath()
		if cost, ok := s.pathCost(way, before); ok && cost < limit {
			best, limit = way, cost*replacementCostRatio
		}
	}
	return best, best != nil
}

// drawPath returns one way of the flow with the probability of its share.
func (s *search) drawPath() []pathHop {
	total := 0.0
	for i := range s.flows {
		total += s.flows[i].rate
	}
	left := s.random.Float64() * total
	for i := range s.flows {
		if left -= s.flows[i].rate; left < 0 {
			return s.flows[i].path
		}
	}
	return s.flows[len(s.flows)-1].path
}

// pathCost is the expected time of a request on a way, or false when a group has no offer.
func (s *search) pathCost(way []pathHop, before int) (float64, bool) {
	cost := 0.0
	for _, piece := range way {
		if !s.usable(piece.group) {
			return 0, false
		}
		domain := s.plan.groups[piece.group].domain
		cost += s.linkCost(before, domain) + s.hopCost(piece.group, piece.from, piece.to)
		before = domain
	}
	return cost, true
}
