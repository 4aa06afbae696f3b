package placement

import (
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// dropDelay is added to the longest request before an old version is dropped: the
	// time in which all daemons see that the new one stands.
	dropDelay = 15 * time.Second
	// orderTimeout is how long an engine may take to reach a state before it is ordered again.
	orderTimeout = 2 * time.Minute
)

// PlannerConfig bounds what a Planner orders.
type PlannerConfig struct {
	FailureDomain chicoryhall.FailureDomain
	// MaxConcurrentLoads is how many engines of the failure domain load weights at once.
	MaxConcurrentLoads int
	// SingleRange tells that an engine holds one range only, so that a new one replaces the old.
	SingleRange bool
}

// Report is what one engine said of itself.
type Report struct {
	Load chicoryhall.LoadReport
	// Known is false when the engine could not be asked.
	Known bool
}

// Order is the state that one engine shall reach.
type Order struct {
	Endpoint chicoryhall.EndpointID
	Address  string
	Fencing  bool
	Layers   []chicoryhall.LayerRange
}

// sentOrder is the last order of an engine.
type sentOrder struct {
	ranges []chicoryhall.LayerRange
	at     time.Time
	// incarnation is the run of the engine that was told; a later run knows nothing of it.
	incarnation int64
}

// Planner decides orders; it does no I/O.
type Planner struct {
	config PlannerConfig
	// fullyLoaded is since when each service's wanted version has had a chain.
	fullyLoaded map[chicoryhall.ServiceName]loadedSince
	sent        map[chicoryhall.EndpointID]sentOrder
}

// loadedSince is since when a version has had a chain.
type loadedSince struct {
	model chicoryhall.DocumentModel
	since time.Time
}

// NewPlanner returns a Planner that has seen nothing, so that it drops nothing soon.
func NewPlanner(config PlannerConfig) *Planner {
	return &Planner{
		config: config, fullyLoaded: map[chicoryhall.ServiceName]loadedSince{}, sent: map[chicoryhall.EndpointID]sentOrder{},
	}
}

// Plan returns the orders that are due, from every engine's report.
func (p *Planner) Plan(documents []*chicoryhall.Document, reports map[chicoryhall.EndpointID]Report, now time.Time) []Order {
	p.observe(documents, reports, now)
	loading := p.loading(reports, now)
	var orders []Order
	for _, engine := range p.targets(documents) {
		report := reports[engine.endpoint.ID]
		if !report.Known {
			continue
		}
		wanted := p.target(engine, documents, report.Load.LoadedLayers, now)
		loads := !containsAll(report.Load.LoadedLayers, wanted)
		if loads && !loading[engine.endpoint.ID] && len(loading) >= p.config.MaxConcurrentLoads {
			continue
		}
		if !p.needsOrder(engine.endpoint.ID, wanted, report.Load, now) {
			continue
		}
		if loads {
			loading[engine.endpoint.ID] = true
		}
		p.sent[engine.endpoint.ID] = sentOrder{ranges: wanted, at: now, incarnation: report.Load.Incarnation}
		orders = append(orders, Order{
			Endpoint: engine.endpoint.ID, Address: engine.endpoint.Address, Fencing: engine.endpoint.Fencing, Layers: wanted,
		})
	}
	return orders
}

// OrderFailed forgets an order that did not reach its engine.
func (p *Planner) OrderFailed(id chicoryhall.EndpointID) { delete(p.sent, id) }

// observe notes since when each service's wanted version has had a chain.
func (p *Planner) observe(documents []*chicoryhall.Document, reports map[chicoryhall.EndpointID]Report, now time.Time) {
	for _, d := range documents {
		before, known := p.fullyLoaded[d.Service]
		switch {
		case !isFullyLoaded(d, reports):
			delete(p.fullyLoaded, d.Service)
		case !known || before.model != d.Model:
			p.fullyLoaded[d.Service] = loadedSince{model: d.Model, since: now}
		}
	}
}

// loading returns the engines that are on their way to hold what they were ordered.
func (p *Planner) loading(reports map[chicoryhall.EndpointID]Report, now time.Time) map[chicoryhall.EndpointID]bool {
	busy := map[chicoryhall.EndpointID]bool{}
	for id, last := range p.sent {
		report := reports[id]
		isSameRun := report.Known && report.Load.Incarnation == last.incarnation
		if isSameRun && !containsAll(report.Load.LoadedLayers, last.ranges) && now.Sub(last.at) < orderTimeout {
			busy[id] = true
		}
	}
	return busy
}

// needsOrder tells whether the engine must be told: it is in another state and was not told so lately.
func (p *Planner) needsOrder(id chicoryhall.EndpointID, wanted []chicoryhall.LayerRange, load chicoryhall.LoadReport, now time.Time) bool {
	if sameRanges(wanted, load.LoadedLayers) {
		return false
	}
	last, told := p.sent[id]
	return !told || last.incarnation != load.Incarnation || !sameRanges(last.ranges, wanted) || now.Sub(last.at) >= orderTimeout
}

// target returns what the engine shall hold: what documents want, and what may not be dropped yet.
func (p *Planner) target(e targetEndpoint, documents []*chicoryhall.Document, held []chicoryhall.LayerRange, now time.Time) []chicoryhall.LayerRange {
	target := slices.Clone(e.wanted)
	if p.config.SingleRange {
		return target
	}
	for _, holding := range held {
		if !slices.Contains(target, holding) && !p.mayDrop(holding, e, documents, held, now) {
			target = append(target, holding)
		}
	}
	return target
}

// mayDrop tells whether nothing needs a holding: its engine holds what replaces it, and the
// version in force has stood for longer than a request of the old one may run.
func (p *Planner) mayDrop(holding chicoryhall.LayerRange, e targetEndpoint, documents []*chicoryhall.Document, held []chicoryhall.LayerRange, now time.Time) bool {
	for _, d := range documents {
		if d.Model.Name != holding.Model {
			continue
		}
		standing, stands := p.fullyLoaded[d.Service]
		if !stands || !containsAll(held, e.wanted) || now.Sub(standing.since) < longestRequest(d)+dropDelay {
			return false
		}
	}
	return true
}

// longestRequest returns the greatest timeout of the document's classes.
func longestRequest(d *chicoryhall.Document) time.Duration {
	var longest time.Duration
	for _, class := range d.Classes {
		longest = max(longest, class.Timeout)
	}
	return longest
}
