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
	// homeFirst is Options.HomeFirst, but never nil.
	homeFirst func() bool
}

// newRouter returns a Router for a daemon's view of the endpoints.
func newRouter(endpoints chicoryhall.Endpoints, options Options) *Router {
	r := &Router{planner: newPlanner(endpoints, options.Policy == PolicyFlow), homeFirst: options.HomeFirst}
	if r.homeFirst == nil {
		r.homeFirst = func() bool { return false }
	}
	r.search.crossDomainCost = float64(options.CrossDomainCost)
	r.search.maxBias = options.MaxBias
	r.search.seed = options.Seed
	r.search.random = rand.New(rand.NewPCG(options.Seed, options.Seed))
	r.search.view = endpoints.View
	return r
}

// Choose returns a chain of endpoints that covers the service's layers once, in order. If it finds
// none, it rebuilds the plan, which may be outdated, and tries once more. If layers are then held by
// no ready endpoint, it also uses those that are only weakly suspect. If that fails too, it
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
	route, err = r.choose(r.planner.planFor(&query), &query)
	if err == nil || !r.hasLastResort(&query, err) {
		return route, err
	}
	return r.chooseLastResort(&query)
}

// hasLastResort reports whether a search has failed because layers are held by no ready endpoint, and there are endpoints that are
// only weakly suspect.
func (r *Router) hasLastResort(query *chicoryhall.RouteQuery, err error) bool {
	var uncovered *UncoveredError
	if !errors.As(err, &uncovered) || uncovered.LacksRoom() {
		return false
	}
	return slices.ContainsFunc(query.Document.Endpoints, func(endpoint chicoryhall.DocumentEndpoint) bool {
		return r.search.view(endpoint.ID).WeaklySuspect
	})
}

// chooseLastResort answers a query as if the endpoints that are weakly suspect were ready.
func (r *Router) chooseLastResort(query *chicoryhall.RouteQuery) (chicoryhall.Route, error) {
	usual := r.search.view
	defer func() { r.search.view = usual }()
	r.search.view = func(id chicoryhall.EndpointID) chicoryhall.EndpointView {
		view := usual(id)
		if view.WeaklySuspect {
			view.State = chicoryhall.EndpointReady
		}
		return view
	}
	return r.choose(&cachedPlan{plan: newPlan(query.Document, r.search.view, query.Now)}, query)
}

// validate returns an error for a query that cannot be answered.
func validate(query *chicoryhall.RouteQuery) error {
	if query.Document == nil {
		return errors.New("choose route: the query has no document")
	}
	return nil
}

// choose answers a query from one plan.
func (r *Router) choose(p *cachedPlan, query *chicoryhall.RouteQuery) (chicoryhall.Route, error) {
	s := &r.search
	for _, s.scope = range r.scopes(p, query) {
		hops, ok := r.findHops(p, query)
		if ok && (s.scope.crossesDomains || !crossesDomains(hops)) {
			return s.buildRoute(hops, query), nil
		}
	}
	return chicoryhall.Route{}, s.uncoveredError()
}

// scope limits a search.
type scope struct {
	// onlyDomain is the index of the only failure domain that may be used, or anyDomain.
	onlyDomain int
	// avoidsOccupied is set if endpoints are avoided above avoidanceThreshold.
	avoidsOccupied bool
	// crossesDomains is set if the route may use links between failure domains.
	crossesDomains bool
}

// homeDraws is how often a route in the daemon's own failure domain is looked for that avoids occupied endpoints. As these are
// avoided at random, another search may find one.
const homeDraws = 3

// scopes returns the scopes in which a route is looked for, one after another. A router with homeFirst begins in the daemon's own
// failure domain, and takes the others in random order: daemons that lack a chain at home would all choose the fastest other one.
// Occupied endpoints are used rather than those of another domain, and links between domains only if there is no other way.
func (r *Router) scopes(p *cachedPlan, query *chicoryhall.RouteQuery) []scope {
	var scopes []scope
	home := slices.Index(p.plan.domains, query.FailureDomain)
	if home >= 0 && query.Document.Kind != chicoryhall.ServicePlain && r.homeFirst() {
		scopes = slices.Repeat([]scope{{onlyDomain: home, avoidsOccupied: true}}, homeDraws)
		scopes = append(scopes, scope{onlyDomain: home})
		for _, domain := range r.search.random.Perm(len(p.plan.domains)) {
			if domain != home {
				scopes = append(scopes, scope{onlyDomain: domain, avoidsOccupied: true})
			}
		}
	}
	scopes = append(scopes, scope{onlyDomain: anyDomain, avoidsOccupied: true})
	if query.WithinDomain {
		for domain := range p.plan.domains {
			scopes = append(scopes, scope{onlyDomain: domain})
		}
		return scopes
	}
	return append(scopes, scope{onlyDomain: anyDomain, crossesDomains: true})
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
