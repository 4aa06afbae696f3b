package pipeline

import (
	"sync/atomic"
	"time"

	"chicoryhall.example/chicoryhall"
)

// planLifetime bounds how long a plan is used. It limits the delay of changes in reports that are
// not changes of an endpoint's state, such as loaded layers.
const planLifetime = 500 * time.Millisecond

// planner caches the plan of each service until its document or an endpoint changes.
type planner struct {
	endpoints    chicoryhall.Endpoints
	stateVersion atomic.Int64
	plans        map[chicoryhall.ServiceName]*cachedPlan
	// usesFlows tells whether the maximum flow is computed for each plan.
	usesFlows bool
}

// cachedPlan is a plan with its maximum flow, and the planner's stateVersion for which it was
// built.
type cachedPlan struct {
	*plan
	stateVersion int64
	flows        []flow
}

func newPlanner(endpoints chicoryhall.Endpoints, usesFlows bool) *planner {
	p := &planner{endpoints: endpoints, plans: make(map[chicoryhall.ServiceName]*cachedPlan), usesFlows: usesFlows}
	endpoints.Subscribe(func(chicoryhall.EndpointID, chicoryhall.EndpointState) { p.stateVersion.Add(1) })
	return p
}

// planFor returns the plan of the query's service, and rebuilds it if something changed.
func (p *planner) planFor(query *chicoryhall.RouteQuery) *cachedPlan {
	version := p.stateVersion.Load()
	cached := p.plans[query.Document.Service]
	if cached != nil && cached.document == query.Document && cached.stateVersion == version &&
		query.Now.Sub(cached.builtAt) < planLifetime {
		return cached
	}
	next := &cachedPlan{plan: newPlan(query.Document, p.endpoints.View, query.Now), stateVersion: version}
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

// invalidVersion differs from every stateVersion.
const invalidVersion = -1

// invalidate forces the next query of a service to rebuild its plan.
func (p *planner) invalidate(service chicoryhall.ServiceName) {
	p.plans[service].stateVersion = invalidVersion
}
