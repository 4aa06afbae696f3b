package pipeline

import "math"

// sampledPaths is the number of paths that are drawn from the maximum flow for one route.
const sampledPaths = 2

// replacementCostRatio is how much cheaper another drawn path has to be to replace the best one so
// far: its cost must be below this fraction. Load reports are outdated, so smaller differences mean
// nothing.
const replacementCostRatio = 0.6

// choosePath returns the hops for the layers between two boundaries. For the whole model it draws
// paths by their shares of the maximum flow and takes the first, or another one that is much
// cheaper. For a part of the model, or if no drawn path is usable, it returns the cheapest path.
func (s *search) choosePath(start, end, before, after int) ([]pathHop, bool) {
	if start == 0 && end == len(s.plan.boundaries)-1 && len(s.flows) > 0 {
		if drawn, ok := s.sampleFlowPath(before); ok {
			s.pathFinder.hops = append(s.pathFinder.hops[:0], drawn...)
			return s.pathFinder.hops, true
		}
	}
	path, _, ok := s.cheapestPath(s, start, end, before, after)
	return path, ok
}

// sampleFlowPath draws sampledPaths paths and returns the first usable one, or a later one that is
// much cheaper.
func (s *search) sampleFlowPath(before int) ([]pathHop, bool) {
	var best []pathHop
	limit := math.Inf(1)
	for range sampledPaths {
		path := s.drawPath()
		if cost, ok := s.pathCost(path, before); ok && cost < limit {
			best, limit = path, cost*replacementCostRatio
		}
	}
	return best, best != nil
}

// drawPath returns a random path of the flow, with a probability in proportion to its rate.
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

// pathCost returns the expected time of the request on a path, or false if a group of it has no
// usable candidate.
func (s *search) pathCost(path []pathHop, before int) (float64, bool) {
	cost := 0.0
	for _, p := range path {
		if !s.usable(p.group) {
			return 0, false
		}
		domain := s.plan.groups[p.group].domain
		cost += s.linkCost(before, domain) + s.hopCost(p.group, p.from, p.to)
		before = domain
	}
	return cost, true
}
