package pipeline

import (
	"math"
	"math/rand/v2"
	"slices"

	"chicoryhall.example/chicoryhall"
)

// samplesPerGroup is the number of engines looked at in each group for one choice.
const samplesPerGroup = 2

// offer is the engine that a group proposes for one choice.
type offer struct {
	engine int
	load   load
	usable bool
}

// step is the last hop of the cheapest way to a node.
type step struct {
	cost   float64
	group  int
	from   int
	domain int
}

// search finds shortest paths over (layer boundary, failure domain) nodes; it is reused.
type search struct {
	plan     *plan
	random   *rand.Rand
	view     func(chicoryhall.EngineID) chicoryhall.EndpointView
	excluded []bool
	offers   []offer
	nodes    []step
	// positions and tokens are the work that the costs are for.
	positions int
	tokens    float64
}

// reset prepares the search for one query over a plan.
func (s *search) reset(p *plan, query *chicoryhall.RouteQuery) {
	s.plan = p
	s.positions = query.Positions
	s.tokens = float64(max(1, query.Remaining))
	s.excluded = resized(s.excluded, len(p.engines))
	s.offers = resized(s.offers, len(p.groups))
	s.nodes = resized(s.nodes, len(p.cuts)*len(p.domains))
	for _, id := range query.Exclude {
		s.exclude(id)
	}
}

// exclude keeps an engine out of new hops.
func (s *search) exclude(id chicoryhall.EngineID) {
	if index, ok := s.plan.byID[id]; ok {
		s.excluded[index] = true
	}
}

// resized returns a zeroed slice of the wanted length that reuses the old memory.
func resized[T any](old []T, length int) []T {
	if cap(old) < length {
		return make([]T, length)
	}
	old = old[:length]
	clear(old)
	return old
}

// sample asks every group for its least loaded engine among a few drawn at random.
func (s *search) sample() {
	for i := range s.plan.groups {
		s.offers[i] = s.bestOf(&s.plan.groups[i])
	}
}

// bestOf draws engines of a group and returns the least loaded usable one.
func (s *search) bestOf(g *group) offer {
	best := offer{}
	drawn := 0
	start := s.random.IntN(len(g.engines))
	stride := s.strideOf(len(g.engines))
	for i := range g.engines {
		index := g.engines[(start+i*stride)%len(g.engines)]
		if s.excluded[index] {
			continue
		}
		seen := s.view(s.plan.engines[index].id)
		if seen.State != chicoryhall.EndpointReady {
			continue
		}
		candidate := offer{engine: index, load: loadOf(seen), usable: true}
		if !best.usable || candidate.load.streams < best.load.streams {
			best = candidate
		}
		drawn++
		if drawn == samplesPerGroup {
			return best
		}
	}
	return best
}

// strideOf returns a random step that is coprime to size, so that a walk meets every index once.
func (s *search) strideOf(size int) int {
	if size <= 2 {
		return 1
	}
	stride := 1 + s.random.IntN(size-1)
	for gcd(stride, size) != 1 {
		stride = stride%(size-1) + 1
	}
	return stride
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// path returns the cheapest hops from cut start to cut end. The way begins in domain before and
// goes on to domain after unless that is negative.
func (s *search) path(start, end, before, after int) ([]placed, bool) {
	domains := len(s.plan.domains)
	for i := range s.nodes {
		s.nodes[i] = step{cost: math.Inf(1)}
	}
	s.nodes[start*domains+before] = step{cost: 0, group: -1}
	for cut := start; cut < end; cut++ {
		s.leave(cut, end)
	}
	last := s.cheapestEnd(end, after)
	if last < 0 {
		return nil, false
	}
	return s.trace(end, last), true
}

// leave extends the ways that have reached a cut by every group that can go on from there.
func (s *search) leave(cut, end int) {
	for i := range s.plan.groups {
		g := &s.plan.groups[i]
		if g.from > cut {
			return
		}
		if cut >= g.to || !s.offers[i].usable {
			continue
		}
		s.extend(i, cut, end)
	}
}

// extend adds the hops of one group that start at a cut.
func (s *search) extend(groupIndex, cut, end int) {
	g := &s.plan.groups[groupIndex]
	domains := len(s.plan.domains)
	before, cost := s.cheapestBefore(cut, g.domain)
	if math.IsInf(cost, 1) {
		return
	}
	for to := cut + 1; to <= min(g.to, end); to++ {
		total := cost + s.hopCost(groupIndex, cut, to)
		node := &s.nodes[to*domains+g.domain]
		if total < node.cost {
			*node = step{cost: total, group: groupIndex, from: cut, domain: before}
		}
	}
}

// cheapestBefore returns the domain from which a cut is entered at the least cost.
func (s *search) cheapestBefore(cut, domain int) (int, float64) {
	domains := len(s.plan.domains)
	best, cost := -1, math.Inf(1)
	for before := range domains {
		reached := s.nodes[cut*domains+before].cost
		if math.IsInf(reached, 1) {
			continue
		}
		if total := reached + s.linkCost(before, domain); total < cost {
			best, cost = before, total
		}
	}
	return best, cost
}

// cheapestEnd returns the domain in which the cheapest way ends, or -1.
func (s *search) cheapestEnd(end, after int) int {
	domains := len(s.plan.domains)
	best, cost := -1, math.Inf(1)
	for domain := range domains {
		total := s.nodes[end*domains+domain].cost
		if after >= 0 {
			total += s.linkCost(domain, after)
		}
		if total < cost {
			best, cost = domain, total
		}
	}
	return best
}

// placed is one new hop of a way, in cuts.
type placed struct {
	group  int
	engine int
	from   int
	to     int
}

// trace reads the hops of a way back from its end.
func (s *search) trace(cut, domain int) []placed {
	domains := len(s.plan.domains)
	hops := make([]placed, 0, len(s.plan.cuts))
	for {
		node := s.nodes[cut*domains+domain]
		if node.group < 0 {
			slices.Reverse(hops)
			return hops
		}
		hops = append(hops, placed{
			group: node.group, engine: s.offers[node.group].engine, from: node.from, to: cut,
		})
		cut, domain = node.from, node.domain
	}
}

// hopCost is the expected time that a group's engine adds to the whole request.
func (s *search) hopCost(groupIndex, from, to int) float64 {
	g := &s.plan.groups[groupIndex]
	layers := s.plan.cuts[to] - s.plan.cuts[from]
	token := s.tokenTime(g.speed, s.offers[groupIndex].load, layers)
	return g.speed.prefill(layers, s.positions) + s.tokens*token
}

// tokenTime is the expected time of one token at an engine.
func (s *search) tokenTime(v speed, l load, layers int) float64 {
	others := l.streams * float64(layers) / float64(s.plan.layers)
	return v.token(layers, others) * l.slowdown(v, layers)
}

// linkCost is the expected time that a link adds to the whole request.
func (s *search) linkCost(from, to int) float64 {
	way := s.plan.links[from][to]
	bytes := activationBytes(s.plan.model)
	return s.tokens*way.send(bytes) + way.send(bytes*float64(s.positions))
}
