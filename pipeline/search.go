package pipeline

import (
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall"
)

// avoidanceThreshold is the occupancy above which endpoints are avoided with some probability.
const avoidanceThreshold = 0.4

// samplesPerGroup is the number of usable endpoints that are compared in each group for one choice.
const samplesPerGroup = 2

// candidate is the endpoint that represents a group in one choice.
type candidate struct {
	endpoint int
	load     load
	usable   bool
}

// search holds the state of one choice. It implements costs by the expected time that the request
// spends at endpoints and links.
type search struct {
	pathFinder
	random     *rand.Rand
	view       func(chicoryhall.EndpointID) chicoryhall.EndpointView
	excluded   []bool
	scope      scope
	candidates []candidate
	// flows are the paths of the maximum flow, from which routes over the whole model are drawn.
	flows []flow
	// positions is the number of tokens to prefill and tokens the number to generate, for which
	// costs are computed.
	positions int
	tokens    float64
	// crossDomainCost is added to the cost of a link between failure domains, in nanoseconds.
	crossDomainCost float64
	// maxBias is the largest fraction by which this daemon overestimates the time of an endpoint,
	// so that daemons with the same outdated reports choose differently. seed distinguishes the
	// daemons.
	maxBias float64
	seed    uint64
	// activationBytes is the size of one token's activation.
	activationBytes float64
}

// reset prepares the search for one query on a plan.
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

// exclude keeps an endpoint out of new hops.
func (s *search) exclude(id chicoryhall.EndpointID) {
	if index, ok := s.plan.indexByID[id]; ok {
		s.excluded[index] = true
	}
}

// pickCandidates picks a candidate for every group.
func (s *search) pickCandidates() {
	for i := range s.plan.groups {
		s.candidates[i] = s.pickCandidate(&s.plan.groups[i])
	}
}

// pickCandidate returns the fastest of a few random usable endpoints of a group under their current
// load.
func (s *search) pickCandidate(g *group) candidate {
	best := candidate{}
	least := 0.0
	examined := 0
	layers := s.plan.boundaries[g.to] - s.plan.boundaries[g.from]
	start := s.random.IntN(len(g.endpoints))
	stride := s.randomStride(len(g.endpoints))
	for i := range g.endpoints {
		index := g.endpoints[(start+i*stride)%len(g.endpoints)]
		if s.excluded[index] {
			continue
		}
		current := s.view(s.plan.endpoints[index].id)
		if current.State != chicoryhall.EndpointReady || current.Full || s.avoids(current.Occupancy) {
			continue
		}
		c := candidate{endpoint: index, load: loadOf(current), usable: true}
		c.load.timeFactor *= s.bias(s.plan.endpoints[index].id)
		if !s.scope.avoidsOccupied && s.scope.onlyDomain != anyDomain {
			c.load.timeFactor *= occupancyFactor(current.Occupancy)
		}
		if time := s.tokenTime(g.timings, c.load, layers); !best.usable || time < least {
			best, least = c, time
		}
		examined++
		if examined == samplesPerGroup {
			return best
		}
	}
	return best
}

// avoids decides at random whether to avoid an endpoint. The probability rises from 0 at
// avoidanceThreshold to 1 at full occupancy. A daemon knows the load only from outdated reports and
// its own requests. If all daemons used the fastest endpoint until they believe it is full, it
// would refuse about as many requests as it accepts.
func (s *search) avoids(occupancy float64) bool {
	return s.scope.avoidsOccupied && occupancy > avoidanceThreshold && s.random.Float64() < (occupancy-avoidanceThreshold)/(1-avoidanceThreshold)
}

// occupancyFactor is the factor by which the time of an endpoint is overestimated if occupied ones of one domain are not avoided, so
// that the one with the most room is used.
func occupancyFactor(occupancy float64) float64 {
	return 1 / (minFreeShare + 1 - math.Min(1, occupancy))
}

// minFreeShare bounds occupancyFactor for endpoints that are full.
const minFreeShare = 0.02

// bias returns the factor by which this daemon overestimates the time of an endpoint: 1 plus a
// fraction of maxBias that is given by the upper 16 bits of a hash. It does not change over time.
func (s *search) bias(id chicoryhall.EndpointID) float64 {
	if s.maxBias == 0 {
		return 1
	}
	const scale = 1 << 16
	upperBits := (xxhash.Sum64String(string(id)) ^ s.seed) * hashMultiplier >> (64 - 16)
	return 1 + s.maxBias*float64(upperBits)/scale
}

// hashMultiplier is 2^64 divided by the golden ratio. The product's upper bits depend on all bits
// of the endpoint's hash and the daemon's seed (Fibonacci hashing).
const hashMultiplier = 0x9E3779B97F4A7C15

// randomStride returns a random step that is coprime to size, so that a walk visits every index
// once.
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
	return s.candidates[group].usable && (s.scope.onlyDomain == anyDomain || s.scope.onlyDomain == s.plan.groups[group].domain)
}

// hopCost returns the expected time that a group's candidate adds to the whole request.
func (s *search) hopCost(group, from, to int) float64 {
	t := s.plan.groups[group].timings
	layers := s.plan.boundaries[to] - s.plan.boundaries[from]
	return t.prefillTime(layers, s.positions) + s.tokens*s.tokenTime(t, s.candidates[group].load, layers)
}

// linkCost returns the expected time that a link adds to the whole request.
func (s *search) linkCost(from, to int) float64 {
	link := s.plan.links[from][to]
	if from != to {
		return s.crossDomainCost + s.tokens*link.transferTime(s.activationBytes) + link.transferTime(s.activationBytes*float64(s.positions))
	}
	return s.tokens*link.transferTime(s.activationBytes) + link.transferTime(s.activationBytes*float64(s.positions))
}

// entryCost returns the expected time of requests and answers between the daemon and the first
// endpoint. They are texts rather than activations, so that only the delay counts.
func (s *search) entryCost(from, to int) float64 {
	return s.tokens * s.plan.links[from][to].delay
}

// tokenTime returns the expected time of one token at an endpoint that runs the given layers. The
// tokens of another stream are at the endpoint for only a part of the time, which is assumed to be
// the endpoint's share of all layers.
func (s *search) tokenTime(t timings, l load, layers int) float64 {
	others := l.streams * float64(layers) / float64(s.plan.layers)
	return t.tokenTime(layers, others) * l.slowdown(t, layers) * l.timeFactor
}
