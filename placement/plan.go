package placement

import (
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// dropDelay is added to the longest timeout of a class before an old version is dropped. It is
	// the time in which all daemons learn that the new version can be served.
	dropDelay = 15 * time.Second
	// orderTimeout is how long an endpoint may take to reach a state. Then the order is repeated,
	// and the endpoint no longer counts as loading.
	orderTimeout = 2 * time.Minute
)

// PlannerConfig configures a Planner.
type PlannerConfig struct {
	FailureDomain chicoryhall.FailureDomain
	// MaxConcurrentLoads is how many endpoints of the failure domain load weights at once.
	MaxConcurrentLoads int
	// SingleRange is set if an endpoint can hold only one layer range, so that a new version
	// replaces the old one at once.
	SingleRange bool
}

// Report is an endpoint's load report and whether the endpoint may be used.
type Report struct {
	Load chicoryhall.LoadReport
	// Usable is false if the endpoint did not answer, so that there is no report, or if it must not
	// get orders because it is leaving.
	Usable bool
}

// Order is the complete state that an endpoint has to reach.
type Order struct {
	Endpoint chicoryhall.EndpointID
	Address  string
	Fencing  bool
	Layers   []chicoryhall.LayerRange
}

// sentOrder is the last order sent to an endpoint.
type sentOrder struct {
	layers []chicoryhall.LayerRange
	at     time.Time
	// incarnation identifies the process of the endpoint that got the order; a restarted one does
	// not know of it.
	incarnation int64
}

// Planner computes orders from the layers that the documents assign to endpoints. It does not
// choose these layers; for endpoints that start without any, PlannedDocuments does. It does no I/O
// and is not safe for concurrent use.
type Planner struct {
	config PlannerConfig
	// servable holds the services whose current version can be served, and since when.
	servable map[chicoryhall.ServiceName]servableSince
	sent     map[chicoryhall.EndpointID]sentOrder
}

// servableSince is the time since which the endpoints hold a chain of a model's version.
type servableSince struct {
	model chicoryhall.DocumentModel
	since time.Time
}

// NewPlanner returns a Planner without history. It regards a version as servable since the first
// call of its Plan method at the earliest, even if the version has been servable for longer. So it
// drops old versions later rather than sooner.
func NewPlanner(config PlannerConfig) *Planner {
	return &Planner{
		config: config, servable: map[chicoryhall.ServiceName]servableSince{}, sent: map[chicoryhall.EndpointID]sentOrder{},
	}
}

// Plan returns the orders that are due, given the reports of all endpoints, and records them as
// sent. For an order that is then not sent, OrderFailed must be called; otherwise Plan returns it
// again only after orderTimeout, unless the endpoint restarts or is to hold other layers.
func (p *Planner) Plan(documents []*chicoryhall.Document, reports map[chicoryhall.EndpointID]Report, now time.Time) []Order {
	p.observe(documents, reports, now)
	loading := p.loadingEndpoints(reports, now)
	var orders []Order
	for _, t := range p.targets(documents) {
		report := reports[t.endpoint.ID]
		if !report.Usable {
			continue
		}
		desired := p.desiredLayers(t, documents, report.Load.LoadedLayers, now)
		mustLoad := !containsAll(report.Load.LoadedLayers, desired)
		if mustLoad && !loading[t.endpoint.ID] && len(loading) >= p.config.MaxConcurrentLoads {
			continue
		}
		if !p.needsOrder(t.endpoint.ID, desired, report.Load, now) {
			continue
		}
		if mustLoad {
			loading[t.endpoint.ID] = true
		}
		p.sent[t.endpoint.ID] = sentOrder{layers: desired, at: now, incarnation: report.Load.Incarnation}
		orders = append(orders, Order{
			Endpoint: t.endpoint.ID, Address: t.endpoint.Address, Fencing: t.endpoint.Fencing, Layers: desired,
		})
	}
	return orders
}

// OrderFailed forgets the last order of an endpoint, because it was not sent, was refused or may
// not have arrived. Plan then returns it again.
func (p *Planner) OrderFailed(id chicoryhall.EndpointID) { delete(p.sent, id) }

// observe records since when the current version of each service can be served.
func (p *Planner) observe(documents []*chicoryhall.Document, reports map[chicoryhall.EndpointID]Report, now time.Time) {
	for _, d := range documents {
		before, known := p.servable[d.Service]
		switch {
		case !isServable(d, reports):
			delete(p.servable, d.Service)
		case !known || before.model != d.Model:
			p.servable[d.Service] = servableSince{model: d.Model, since: now}
		}
	}
}

// loadingEndpoints returns the endpoints that do not hold all layers of their last order yet. Those
// that are not usable, have restarted since or have taken longer than orderTimeout are left out.
func (p *Planner) loadingEndpoints(reports map[chicoryhall.EndpointID]Report, now time.Time) map[chicoryhall.EndpointID]bool {
	loading := map[chicoryhall.EndpointID]bool{}
	for id, last := range p.sent {
		report := reports[id]
		sameIncarnation := report.Usable && report.Load.Incarnation == last.incarnation
		if sameIncarnation && !containsAll(report.Load.LoadedLayers, last.layers) && now.Sub(last.at) < orderTimeout {
			loading[id] = true
		}
	}
	return loading
}

// needsOrder reports whether to send an order: the endpoint is in another state, and the same order
// was not sent to it recently.
func (p *Planner) needsOrder(id chicoryhall.EndpointID, desired []chicoryhall.LayerRange, load chicoryhall.LoadReport, now time.Time) bool {
	if sameRanges(desired, load.LoadedLayers) {
		return false
	}
	last, sent := p.sent[id]
	return !sent || last.incarnation != load.Incarnation || !sameRanges(last.layers, desired) || now.Sub(last.at) >= orderTimeout
}

// desiredLayers returns the layers that the endpoint has to hold: the wanted ones, which the
// documents assign to it, and those that it holds and may not drop yet.
func (p *Planner) desiredLayers(t targetEndpoint, documents []*chicoryhall.Document, held []chicoryhall.LayerRange, now time.Time) []chicoryhall.LayerRange {
	desired := slices.Clone(t.wanted)
	if p.config.SingleRange {
		return desired
	}
	for _, layers := range held {
		if !slices.Contains(desired, layers) && !p.mayDrop(layers, t, documents, held, now) {
			desired = append(desired, layers)
		}
	}
	return desired
}

// mayDrop reports whether an endpoint's layers are no longer needed. For each document of their
// model, the endpoint must hold the layers that replace them, and the current version must have
// been servable for dropDelay longer than the longest timeout of a class. The timeouts of the
// current document are used, also for requests of an old version. A request that states a longer
// timeout of its own is not waited for. Layers of a model that no document names may be dropped at
// once.
func (p *Planner) mayDrop(layers chicoryhall.LayerRange, t targetEndpoint, documents []*chicoryhall.Document, held []chicoryhall.LayerRange, now time.Time) bool {
	for _, d := range documents {
		if d.Model.Name != layers.Model {
			continue
		}
		s, ok := p.servable[d.Service]
		if !ok || !containsAll(held, t.wanted) || now.Sub(s.since) < longestClassTimeout(d)+dropDelay {
			return false
		}
	}
	return true
}

// longestClassTimeout returns the longest timeout of the document's classes.
func longestClassTimeout(d *chicoryhall.Document) time.Duration {
	var longest time.Duration
	for _, class := range d.Classes {
		longest = max(longest, class.Timeout)
	}
	return longest
}
