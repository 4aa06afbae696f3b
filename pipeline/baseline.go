package pipeline

import (
	"slices"
	"sync"

	"chicoryhall.example/chicoryhall"
)

// baseline is a chicoryhall.Router that walks the layers in order and picks the next endpoint by a
// simple rule. It does not reuse hops of an earlier attempt.
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

// Choose returns a chain of endpoints that covers the service's layers once, in order.
func (b *baseline) Choose(query chicoryhall.RouteQuery) (chicoryhall.Route, error) {
	if err := validate(&query); err != nil {
		return chicoryhall.Route{}, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.planner.planFor(&query)
	b.search.reset(p.plan, &query)
	var hops []hop
	for boundary := 0; boundary < len(p.boundaries)-1; {
		next, to, ok := b.nextHop(p.plan, boundary)
		if !ok {
			missing := []LayerSpan{{From: p.boundaries[boundary], To: p.boundaries[boundary+1]}}
			return chicoryhall.Route{}, &UncoveredError{Service: p.document.Service, Layers: missing}
		}
		next.From, next.To = p.boundaries[boundary], p.boundaries[to]
		hops = append(hops, next)
		b.search.exclude(next.Engine)
		boundary = to
	}
	return b.search.buildRoute(hops, &query), nil
}

// nextHop returns the endpoint that runs the layers from a boundary on, and the boundary that it
// reaches.
func (b *baseline) nextHop(p *plan, boundary int) (hop, int, bool) {
	var candidates []hop
	var ends []int
	for _, g := range p.groups {
		if g.from > boundary || boundary >= g.to {
			continue
		}
		for _, index := range g.endpoints {
			e := p.endpoints[index]
			current := b.search.view(e.id)
			if b.search.excluded[index] || current.State != chicoryhall.EndpointReady {
				continue
			}
			candidates = append(candidates, hop{
				Hop:    chicoryhall.Hop{Engine: e.id, Address: e.address},
				domain: e.domain, timings: e.timings, load: loadOf(current),
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

// pick returns the index of the candidate that the policy selects.
func (b *baseline) pick(candidates []hop) int {
	if b.policy == PolicyRoundRobin {
		b.nextIndex++
		return b.nextIndex % len(candidates)
	}
	least := slices.MinFunc(candidates, func(x, y hop) int { return b.reportedStreams(x) - b.reportedStreams(y) })
	return slices.IndexFunc(candidates, func(h hop) bool { return h.Engine == least.Engine })
}

// reportedStreams returns the number of streams in an endpoint's last report.
func (b *baseline) reportedStreams(h hop) int {
	load := b.search.view(h.Engine).Load
	return load.Running + load.Waiting
}
