package pipeline

import (
	"sync/atomic"
	"time"

	"chicoryhall.example/chicoryhall"
)

// planLifetime bounds how long a plan is used before all endpoints are read again.
const planLifetime = 500 * time.Millisecond

// planner caches the plan of each service until its document or an endpoint changes.
type planner struct {
	endpoints   chicoryhall.Endpoints
	changeCount atomic.Int64
	plans       map[chicoryhall.ServiceName]*cachedPlan
	// usesFlows tells whether the maximum flow is computed for each plan.
	usesFlows bool
}

// cachedPlan is a plan with its maximum flow, and the changeCount for which it was built.
type cachedPlan struct {
	*plan
	builtAtChange int64
	flows         []flow
}

func newPlanner(endpoints chicoryhall.Endpoints, hasFlows bool) *planner {
	p := &planner{endpoints: endpoints, plans: make(map[chicoryhall.ServiceName]*cachedPlan), usesFlows: hasFlows}
	endpoints.Subscribe(func(chicoryhall.EndpointID, chicoryhall.EndpointState) { p.changeCount.Add(1) })
	return p
}

// planFor returns the plan of the query's service, and rebuilds it if something changed.
func (p *planner) planFor(query *chicoryhall.RouteQuery) *cachedPlan {
	changes := p.changeCount.Load()
	cached := p.plans[query.Document.Service]
	if cached != nil && cached.document == query.Document && cached.builtAtChange == changes &&
		query.Now.Sub(cached.builtAt) < planLifetime {
		return cached
	}
	next := &cachedPlan{plan: newPlan(query.Document, p.endpoints.View, query.Now), builtAtChange: changes}
	switch {
	case !p.usesFlows:
	case cached != nil && cached.sameCapacity(next.plan):
		next.flows = cached.flows
	default:
		next.flows, _ = maxFlow(next.plan, Mix{})
	}
	p.plans[query.Document.Service] = next
	return next
}

// noChange is a changeCount that never occurs.
const noChange = -1

// invalidate forces the next query of a service to rebuild its plan.
func (p *planner) invalidate(service chicoryhall.ServiceName) {
	p.plans[service].builtAtChange = noChange
}
