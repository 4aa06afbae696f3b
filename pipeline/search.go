package pipeline

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall"
)

// freeUseOccupancy is the part of an engine's room up to which it is used without hesitation.
const freeUseOccupancy = 0.6

// samplesPerGroup is the number of engines looked at in each group for one choice.
const samplesPerGroup = 2

// candidate is the engine that a group proposes for one choice.
type candidate struct {
	endpoint int
	load     load
	usable   bool
}

// search holds what one choice looks at: the offers of the groups and the work to price. It
// implements costs by the expected time that the request spends.
type search struct {
	pathFinder
	random   *rand.Rand
	view     func(chicoryhall.EndpointID) chicoryhall.EndpointView
	excluded []bool
	// ignoreOccupancy tells that engines are used however much they are filled, as no route avoids them
	// inside a failure domain.
	ignoreOccupancy bool
	candidates      []candidate
	// flows are the ways of the maximum flow, by which whole routes are drawn.
	flows []flow
	// positions and tokens are the work that the costs are for.
	positions int
	tokens    float64
	// crossDomainCost is the cost of a link between failure domains on top of its time, in nanoseconds.
	crossDomainCost float64
	// maxBias is the greatest part by which an engine looks slower to this daemon than to another one,
	// so that daemons with the same late knowledge do not choose alike; seed tells daemons apart.
	maxBias float64
	seed    uint64
	// activationBytes is the size of one token's activationBytes in bytes.
	activationBytes float64
}

// reset prepares the search for one query over a plan.
func (s *search) reset(p *plan, query *chicoryhall.RouteQuery) {
	s.pathFinder.reset(p)
	s.positions = query.Positions
	s.tokens = float64(max(1, query.RemainingTokens))
	s.activationBytes = activationBytes(p.document.Model)
	s.excluded = resized(s.excluded, len(p.endpoints))
	s.candidates = resized(s.candidates, len(p.groups))
	for _, id := range query.Exclude {
		s.exclude(id)
	}
}

// exclude keeps an engine out of new hops.
func (s *search) exclude(id chicoryhall.EndpointID) {
	if index, ok := s.plan.indexByID[id]; ok {
		s.excluded[index] = true
	}
}

// pickCandidates asks every group for its least loaded engine among a few drawn at random.
func (s *search) pickCandidates() {
	for i := range s.plan.groups {
		s.candidates[i] = s.pickCandidate(&s.plan.groups[i])
	}
}

// pickCandidate draws engines of a group and returns the least loaded usable one.
func (s *search) pickCandidate(g *group) candidate {
	best := candidate{}
	least := 0.0
	drawn := 0
	layers := s.plan.boundaries[g.to] - s.plan.boundaries[g.from]
	start := s.random.IntN(len(g.engines))
	stride := s.randomStride(len(g.engines))
	for i := range g.engines {
		index := g.engines[(start+i*stride)%len(g.engines)]
		if s.excluded[index] {
			continue
		}
		seen := s.view(s.plan.endpoints[index].id)
		if seen.State != chicoryhall.EndpointReady || seen.Full || s.avoids(seen.Occupancy) {
			continue
		}
		candidate := candidate{endpoint: index, load: loadOf(seen), usable: true}
		candidate.load.queueFactor *= s.bias(s.plan.endpoints[index].id)
		if time := s.tokenTime(g.speed, candidate.load, layers); !best.usable || time < least {
			best, least = candidate, time
		}
		drawn++
		if drawn == samplesPerGroup {
			return best
		}
	}
	return best
}

// avoids draws whether an engine that fills up is left alone: the more surely, the fuller it is
// believed to be. Daemons know the load late and in part; if all used the fastest engine until it is
// full, it would refuse about as many requests as it takes.
func (s *search) avoids(fill float64) bool {
	return !s.ignoreOccupancy && fill > freeUseOccupancy && s.random.Float64() < (fill-freeUseOccupancy)/(1-freeUseOccupancy)
}

// bias is by how much an engine looks slower to this daemon; it stays the same over time.
func (s *search) bias(id chicoryhall.EndpointID) float64 {
	if s.maxBias == 0 {
		return 1
	}
	const most = 1 << 16
	drawn := (xxhash.Sum64String(string(id)) ^ s.seed) * hashMultiplier >> (64 - 16)
	return 1 + s.maxBias*float64(drawn)/most
}

// hashMultiplier mixes the bits of an engine's hash and a daemon's seed.
const hashMultiplier = 0x9E3779B97F4A7C15

// randomStride returns a random step that is coprime to size, so that a walk meets every index once.
func (s *search) randomStride(size int) int {
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

func (s *search) usable(group int) bool {
	return s.candidates[group].usable
}

// hopCost is the expected time that a group's engine adds to the whole request.
func (s *search) hopCost(group, from, to int) float64 {
	v := s.plan.groups[group].speed
	layers := s.plan.boundaries[to] - s.plan.boundaries[from]
	return v.prefillTime(layers, s.positions) + s.tokens*s.tokenTime(v, s.candidates[group].load, layers)
}

// linkCost is the expected time that a linkCost adds to the whole request.
func (s *search) linkCost(from, to int) float64 {
	way := s.plan.links[from][to]
	if from != to {
		return s.crossDomainCost + s.tokens*way.transferTime(s.activationBytes) + way.transferTime(s.activationBytes*float64(s.positions))
	}
	return s.tokens*way.transferTime(s.activationBytes) + way.transferTime(s.activationBytes*float64(s.positions))
}

// entryCost is the expected time that requests and answers spend between the daemon and the first
// engine: they are texts, not activations.
func (s *search) entryCost(from, to int) float64 {
	return s.tokens * s.plan.links[from][to].delay
}

// tokenTime is the expected time of one token at an engine.
func (s *search) tokenTime(v timings, l load, layers int) float64 {
	others := l.streams * float64(layers) / float64(s.plan.layers)
	return v.tokenTime(layers, others) * l.slowdown(v, layers) * l.queueFactor
}
