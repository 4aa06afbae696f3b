package pipeline

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"

	"chicoryhall.example/chicoryhall"
)

// Router is the chicoryhall.Router of PolicyFlow and PolicyShortest. It is safe for concurrent use.
type Router struct {
	mu      sync.Mutex
	planner *planner
	search  search
}

// newRouter returns a Router for a daemon's view of the endpoints.
func newRouter(endpoints chicoryhall.Endpoints, options Options) *Router {
	r := &Router{planner: newPlanner(endpoints, options.Policy == PolicyFlow)}
	r.search.crossDomainCost = float64(options.CrossDomainCost)
	r.search.maxBias = options.MaxBias
	r.search.seed = options.Seed
	r.search.random = rand.New(rand.NewPCG(options.Seed, options.Seed))
	r.search.view = endpoints.View
	return r
}

// Choose returns a chain of endpoints that covers the service's layers once, in order. If it finds
// none, it rebuilds the plan, which may be outdated, and tries once more; if that fails too, it
// returns an UncoveredError. A query without a document is an error of another type.
func (r *Router) Choose(query chicoryhall.RouteQuery) (chicoryhall.Route, error) {
	if err := validate(&query); err != nil {
		return chicoryhall.Route{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	route, err := r.choose(r.planner.planFor(&query), &query)
	if err == nil {
		return route, nil
	}
	r.planner.invalidate(query.Document.Service)
	return r.choose(r.planner.planFor(&query), &query)
}

// validate returns an error for a query that cannot be answered.
func validate(query *chicoryhall.RouteQuery) error {
	if query.Document == nil {
		return errors.New("choose route: the query has no document")
	}
	return nil
}

// choose answers a query from one plan. It avoids endpoints above avoidanceThreshold unless that
// requires a link between failure domains.
func (r *Router) choose(p *cachedPlan, query *chicoryhall.RouteQuery) (chicoryhall.Route, error) {
	s := &r.search
	s.ignoreOccupancy = false
	hops, ok := r.findHops(p, query)
	if !ok || crossesDomains(hops) {
		s.ignoreOccupancy = true
		hops, ok = r.findHops(p, query)
	}
	if !ok {
		return chicoryhall.Route{}, s.uncoveredError()
	}
	return s.buildRoute(hops, query), nil
}

// findHops returns the hops for a query. It reuses hops of the last attempt if possible.
func (r *Router) findHops(p *cachedPlan, query *chicoryhall.RouteQuery) ([]hop, bool) {
	s := &r.search
	s.reset(p.plan, query)
	s.flows = p.flows
	reused := s.reusableHops(query)
	hops, ok := s.completeChain(reused, query)
	if !ok && len(reused) > 0 {
		s.reset(p.plan, query)
		hops, ok = s.completeChain(nil, query)
	}
	return hops, ok
}

// crossesDomains reports whether the hops lie in more than one failure domain.
func crossesDomains(hops []hop) bool {
	return slices.ContainsFunc(hops, func(h hop) bool { return h.domain != hops[0].domain })
}

// uncoveredError returns an error with the layers for which no group has a usable endpoint. There
// may be none, see UncoveredError.
func (s *search) uncoveredError() error {
	usable := func(g *group) bool { return s.pickCandidate(g).usable }
	return &UncoveredError{
		Service: s.plan.document.Service,
		Layers:  s.plan.uncovered(0, s.plan.layers, usable),
		Full:    len(s.plan.uncovered(0, s.plan.layers, s.hasReadyEndpoint)) == 0,
	}
}

// hasReadyEndpoint reports whether a group has an endpoint that may get work once it has a free
// slot.
func (s *search) hasReadyEndpoint(g *group) bool {
	return slices.ContainsFunc(g.endpoints, func(index int) bool {
		return !s.excluded[index] && s.view(s.plan.endpoints[index].id).State == chicoryhall.EndpointReady
	})
}
