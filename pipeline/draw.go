package pipeline

import "math"

// drawnWays is the number of ways drawn by their share of the flow for one whole route.
const drawnWays = 2

// clearlyCheaper is the share of the first drawn way's cost below which another one replaces it:
// late reports differ by less than that without meaning.
const clearlyCheaper = 0.6

// way returns the hops for the layers between two cuts. A whole route is a way drawn by its share
// of the maximum flow, or another drawn one that is clearly cheaper; a gap, and a route for which the drawn ways
// cannot be used, is the shortest path.
func (s *search) way(start, end, before, after int) ([]placed, bool) {
	if start == 0 && end == len(s.plan.cuts)-1 && len(s.flows) > 0 {
		if drawn, ok := s.draw(before); ok {
			s.finder.way = append(s.finder.way[:0], drawn...)
			return s.finder.way, true
		}
	}
	way, _, ok := s.path(s, start, end, before, after)
	return way, ok
}

// draw returns a way drawn by the rates, unless another drawn one is clearly cheaper.
func (s *search) draw(before int) ([]placed, bool) {
	var best []placed
	limit := math.Inf(1)
	for range drawnWays {
		way := s.drawWay()
		if cost, ok := s.wayCost(way, before); ok && cost < limit {
			best, limit = way, cost*clearlyCheaper
		}
	}
	return best, best != nil
}

// drawWay returns one way of the flow with the probability of its share.
func (s *search) drawWay() []placed {
	total := 0.0
	for i := range s.flows {
		total += s.flows[i].rate
	}
	left := s.random.Float64() * total
	for i := range s.flows {
		if left -= s.flows[i].rate; left < 0 {
			return s.flows[i].way
		}
	}
	return s.flows[len(s.flows)-1].way
}

// wayCost is the expected time of a request on a way, or false when a group has no offer.
func (s *search) wayCost(way []placed, before int) (float64, bool) {
	cost := 0.0
	for _, piece := range way {
		if !s.usable(piece.group) {
			return 0, false
		}
		domain := s.plan.groups[piece.group].domain
		cost += s.link(before, domain) + s.hop(piece.group, piece.from, piece.to)
		before = domain
	}
	return cost, true
}
