package pipeline

import (
	"slices"
	"sync"

	"chicoryhall.example/chicoryhall"
)

// baseline is a chicoryhall.Router that walks the layers and takes the next engine by a simple
// rule; it keeps no stage of an earlier attempt.
type baseline struct {
	policy Policy

	mu        sync.Mutex
	planner   *planner
	search    search
	nextIndex int
}

func newBaseline(endpoints chicoryhall.Endpoints, policy Policy) *baseline {
	b := &baseline{policy: policy, planner: newPlanner(endpoints, false)}
	b.search.view = endpoints.View
	return b
}

// Choose returns a chain of engines that covers the service's layers once, in order.
func (b *baseline) Choose(query chicoryhall.RouteQuery) (chicoryhall.Route, error) {
	if err := validate(&query); err != nil {
		return chicoryhall.Route{}, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.planner.planFor(&query)
	b.search.reset(p.plan, &query)
	var hops []hop
	for cut := 0; cut < len(p.boundaries)-1; {
		next, to, ok := b.nextHop(p.plan, cut)
		if !ok {
			missing := []LayerSpan{{From: p.boundaries[cut], To: p.boundaries[cut+1]}}
			return chicoryhall.Route{}, &UncoveredError{Service: p.document.Service, Layers: missing}
		}
		next.From, next.To = p.boundaries[cut], p.boundaries[to]
		hops = append(hops, next)
		b.search.exclude(next.Engine)
		cut = to
	}
	return b.search.buildRoute(hops, &query), nil
}

// nextHop returns the engine that runs the layers from a cut on, and the cut that it reaches.
func (b *baseline) nextHop(p *plan, cut int) (hop, int, bool) {
	var candidates []hop
	var ends []int
	for _, g := range p.groups {
		if g.from > cut || cut >= g.to {
			continue
		}
		for _, index := range g.engines {
			e := p.endpoints[index]
			seen := b.search.view(e.id)
			if b.search.excluded[index] || seen.State != chicoryhall.EndpointReady {
				continue
			}
			candidates = append(candidates, hop{
				Hop:    chicoryhall.Hop{Engine: e.id, Address: e.address},
				domain: e.domain, timings: e.timings, load: loadOf(seen),
			})
			ends = append(ends, g.to)
		}
	}
	if len(candidates) == 0 {
		return hop{}, 0, false
	}
	chosen := b.pick(candidates)
	return candidates[chosen], ends[chosen], true
}

// pick applies the rule of the policy.
func (b *baseline) pick(candidates []hop) int {
	if b.policy == PolicyRoundRobin {
		b.nextIndex++
		return b.nextIndex % len(candidates)
	}
	least := slices.MinFunc(candidates, func(x, y hop) int { return b.reportedStreams(x) - b.reportedStreams(y) })
	return slices.IndexFunc(candidates, func(h hop) bool { return h.Engine == least.Engine })
}

// reportedStreams is the number of streams in an engine's last report.
func (b *baseline) reportedStreams(h hop) int {
	load := b.search.view(h.Engine).Load
	return load.Running + load.Waiting
}
