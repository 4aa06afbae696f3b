package pipeline

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"chicoryhall.example/chicoryhall"
)

// planLifetime bounds how long a plan is used without reading all endpoints again.
const planLifetime = 500 * time.Millisecond

// maxRebuilds bounds how often one choice builds its plan again after a change.
const maxRebuilds = 2

// Router is a chicoryhall.Router that chooses the least expected completion time.
type Router struct {
	endpoints chicoryhall.Endpoints
	stale     atomic.Int64

	mu     sync.Mutex
	plans  map[chicoryhall.ServiceName]*cachedPlan
	search search
}

// cachedPlan is a plan and the number of endpoint changes that it has seen.
type cachedPlan struct {
	plan    *plan
	changes int64
}

// Options tune a Router.
type Options struct {
	// Seed fixes the random draws.
	Seed uint64
}

// New returns a Router over the daemon's view of endpoints.
func New(endpoints chicoryhall.Endpoints, options Options) *Router {
	r := &Router{
		endpoints: endpoints,
		plans:     make(map[chicoryhall.ServiceName]*cachedPlan),
	}
	r.search.random = rand.New(rand.NewPCG(options.Seed, options.Seed))
	r.search.view = endpoints.View
	endpoints.Subscribe(func(chicoryhall.EngineID, chicoryhall.EndpointState) { r.stale.Add(1) })
	return r
}

// Choose returns a chain of engines that covers the service's layers once, in order, or an
// UncoveredError; it is safe for concurrent use.
func (r *Router) Choose(query chicoryhall.RouteQuery) (chicoryhall.Route, error) {
	if query.Document == nil {
		return chicoryhall.Route{}, fmt.Errorf("choose route: the query has no document")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for range maxRebuilds {
		route, err := r.choose(r.planFor(&query), &query)
		if err == nil {
			return route, nil
		}
		delete(r.plans, query.Document.Service)
	}
	return r.choose(r.planFor(&query), &query)
}

// planFor returns the service's plan, built again when the document or an endpoint changed.
func (r *Router) planFor(query *chicoryhall.RouteQuery) *plan {
	changes := r.stale.Load()
	cached := r.plans[query.Document.Service]
	if cached != nil && cached.plan.document == query.Document && cached.changes == changes &&
		query.Now.Sub(cached.plan.built) < planLifetime {
		return cached.plan
	}
	built := newPlan(query.Document, r.endpoints.View, query.Now)
	r.plans[query.Document.Service] = &cachedPlan{plan: built, changes: changes}
	return built
}

// choose answers a query from one plan.
func (r *Router) choose(p *plan, query *chicoryhall.RouteQuery) (chicoryhall.Route, error) {
	s := &r.search
	s.reset(p, query)
	kept := s.keptHops(query)
	hops, ok := s.fill(kept, query)
	if !ok && len(kept) > 0 {
		s.reset(p, query)
		hops, ok = s.fill(nil, query)
	}
	if !ok {
		return chicoryhall.Route{}, s.uncoveredError()
	}
	return s.route(hops, query), nil
}

// uncoveredError names the layers for which no group has a usable engine.
func (s *search) uncoveredError() error {
	usable := func(g *group) bool { return s.bestOf(g).usable }
	return &UncoveredError{
		Service: s.plan.document.Service,
		Layers:  s.plan.uncovered(0, s.plan.layers, usable),
	}
}
