package pipeline

import (
	"sync/atomic"
	"time"

	"chicoryhall.example/chicoryhall"
)

// planLifetime bounds how long a plan is used without reading all endpoints again.
const planLifetime = 500 * time.Millisecond

// planner keeps the plan of each service until its document or an endpoint changes.
type planner struct {
	endpoints chicoryhall.Endpoints
	changes   atomic.Int64
	plans     map[chicoryhall.ServiceName]*cachedPlan
	// hasFlows tells that routes are drawn by the shares of the maximum flow.
	hasFlows bool
}

// cachedPlan is a plan, the number of endpoint changes that it has seen and its flows.
type cachedPlan struct {
	*plan
	changes int64
	flows   []flow
}

func newPlanner(endpoints chicoryhall.Endpoints, hasFlows bool) *planner {
	p := &planner{endpoints: endpoints, plans: make(map[chicoryhall.ServiceName]*cachedPlan), hasFlows: hasFlows}
	endpoints.Subscribe(func(chicoryhall.EndpointID, chicoryhall.EndpointState) { p.changes.Add(1) })
	return p
}

// planFor returns the plan of the query's service, built again when something changed.
func (p *planner) planFor(query *chicoryhall.RouteQuery) *cachedPlan {
	changes := p.changes.Load()
	cached := p.plans[query.Document.Service]
	if cached != nil && cached.document == query.Document && cached.changes == changes &&
		query.Now.Sub(cached.built) < planLifetime {
		return cached
	}
	next := &cachedPlan{plan: newPlan(query.Document, p.endpoints.View, query.Now), changes: changes}
	switch {
	case !p.hasFlows:
	case cached != nil && cached.sameCapacity(next.plan):
		next.flows = cached.flows
	default:
		next.flows, _ = maxFlow(next.plan, Mix{})
	}
	p.plans[query.Document.Service] = next
	return next
}

// neverSeen is a number of changes that differs from every real one.
const neverSeen = -1

// forget makes the next query of a service read its endpoints again.
func (p *planner) forget(service chicoryhall.ServiceName) {
	p.plans[service].changes = neverSeen
}
