package placement

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/lease"
	"chicoryhall.example/chicoryhall/table"
)

// orderPeriod is how often the holder of the lease sends orders. The others limit a Controller's
// calls.
const (
	orderPeriod         = time.Second
	tableCallTimeout    = 2 * time.Second
	endpointCallTimeout = time.Second
	maxEndpointCalls    = 16
)

// Options are the times and limits of a Controller. All but IsPreferred must be the same at all
// daemons of a failure domain.
type Options struct {
	// LeaseDuration is how long a lease is valid after its last write. Its holder stops LeaseMargin
	// earlier.
	LeaseDuration time.Duration
	LeaseMargin   time.Duration
	// MaxOrderDelay bounds the time between checking the lease and the arrival of an order, even if
	// the process is paused in between.
	MaxOrderDelay time.Duration
	// LeaseCheckPeriod is the time between two reads of the lease's row, or between two checks
	// whether to renew it.
	LeaseCheckPeriod time.Duration
	// IsPreferred tells whether this daemon is a preferred holder of the lease; nil means always.
	// Other daemons compete for it too, but check it only every nonPreferredFactor periods while
	// they do not hold it, so that a preferred daemon usually takes it before them.
	IsPreferred func() bool
	// MaxConcurrentLoads is how many endpoints of the failure domain load weights at once.
	MaxConcurrentLoads int
	// SingleRange is set if an endpoint can hold only one layer range, so that a new version
	// replaces the old one at once.
	SingleRange bool
}

// DefaultOptions returns options for endpoints that ignore fencing numbers and a weight store with
// a low rate.
func DefaultOptions() Options {
	return Options{
		LeaseDuration: 15 * time.Second, LeaseMargin: 5 * time.Second, MaxOrderDelay: 30 * time.Second,
		LeaseCheckPeriod: 3 * time.Second, MaxConcurrentLoads: 2,
	}
}

// LeasePrefix is the prefix of the leases' keys in the table.
const LeasePrefix = "leases/"

// EndpointClient is the part of the engine client that a Controller uses. Load is the read of a
// report here; elsewhere in this package, to load means to load weights.
type EndpointClient interface {
	// Load returns an endpoint's load report.
	Load(ctx context.Context, address string) (chicoryhall.LoadReport, error)
	// Order sends an endpoint the state that it has to reach.
	Order(ctx context.Context, address string, order engine.Order) (engine.OrderResult, error)
}

// ControllerConfig configures a Controller.
type ControllerConfig struct {
	Self          chicoryhall.DaemonID
	FailureDomain chicoryhall.FailureDomain
	Table         chicoryhall.Table
	Documents     chicoryhall.Documents
	Client        EndpointClient
	Timer         chicoryhall.Timer
	Options       Options
	Log           *event.Logger
}

// Controller competes for the failure domain's lease and, while it holds it, sends orders to the
// endpoints.
type Controller struct {
	config  ControllerConfig
	lease   *lease.Lease
	planner *Planner
	fence   int64
}

// NewController returns a Controller. It does nothing until Serve is called.
func NewController(config ControllerConfig) *Controller {
	return &Controller{config: config, lease: lease.New(lease.Config{
		Self: config.Self, Key: LeasePrefix + string(config.FailureDomain),
		Duration: config.Options.LeaseDuration, Margin: config.Options.LeaseMargin, MaxOrderDelay: config.Options.MaxOrderDelay,
	})}
}

// Serve competes for the lease and sends orders until ctx ends.
func (c *Controller) Serve(ctx context.Context) error {
	wake := make(chan struct{}, 1)
	ticks := c.config.Timer.Every(orderPeriod, func(time.Time) {
		select {
		case wake <- struct{}{}:
		default:
		}
	})
	defer ticks.Cancel()
	var lastCheck time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wake:
		}
		now := c.config.Timer.Now()
		if now.Sub(lastCheck) >= c.leaseCheckPeriod() {
			lastCheck = now
			c.checkLease(ctx)
		}
		if c.lease.Valid(c.config.Timer.Now()) {
			c.sendOrders(ctx)
		}
	}
}

// nonPreferredFactor is the factor by which a daemon that is not a preferred holder checks the
// lease less often.
const nonPreferredFactor = 10

// leaseCheckPeriod returns the time between two calls of checkLease.
func (c *Controller) leaseCheckPeriod() time.Duration {
	period := c.config.Options.LeaseCheckPeriod
	if !c.lease.Valid(c.config.Timer.Now()) && c.config.Options.IsPreferred != nil && !c.config.Options.IsPreferred() {
		period *= nonPreferredFactor
	}
	return period
}

// checkLease reads the lease's row and writes it if that is due. The holder writes without a read,
// because the condition of the write shows whether the row is still its own.
func (c *Controller) checkLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	if !c.lease.Valid(c.config.Timer.Now()) {
		row, _, err := c.config.Table.Row(ctx, LeasePrefix+string(c.config.FailureDomain))
		if err == nil {
			err = c.lease.ObserveRow(row, c.config.Timer.Now())
		}
		if err != nil {
			c.config.Log.Log(event.StoreCallFailed, "step", "read the lease", "error", err)
			return
		}
	}
	if !c.lease.WriteDue(c.config.Timer.Now()) {
		return
	}
	sent := c.config.Timer.Now()
	transaction := c.lease.NewTransaction(rand.Text())
	result, err := table.Settle(ctx, c.config.Table, transaction)
	if other, conflict := table.AsConflict(err); conflict {
		err = c.lease.WriteConflicted(other, c.config.Timer.Now())
	} else if err == nil {
		err = c.lease.WriteConfirmed(transaction, result.Versions[0], sent)
	}
	// A failed write is not logged but tried again at the next check. If the table stays unavailable,
	// the lease expires, and the failed reads that follow are logged.
	if err == nil && c.lease.Valid(c.config.Timer.Now()) && c.lease.Fence() != c.fence {
		c.startTerm()
	}
}

// startTerm prepares this daemon to send orders after it has acquired the lease, with a Planner
// without history.
func (c *Controller) startTerm() {
	c.fence = c.lease.Fence()
	c.planner = NewPlanner(PlannerConfig{
		FailureDomain: c.config.FailureDomain, MaxConcurrentLoads: c.config.Options.MaxConcurrentLoads,
		SingleRange: c.config.Options.SingleRange,
	})
	c.config.Log.Log(event.LeaseAcquired, "failureDomain", c.config.FailureDomain, "fence", c.fence)
}

// sendOrders reads the reports of the endpoints and sends the orders that are due.
func (c *Controller) sendOrders(ctx context.Context) {
	var documents []*chicoryhall.Document
	for _, current := range c.config.Documents.All() {
		if current.Document.Kind == chicoryhall.ServicePipeline {
			documents = append(documents, current.Document)
		}
	}
	reports := c.readReports(ctx, documents)
	for _, order := range c.planner.Plan(documents, reports, c.config.Timer.Now()) {
		c.send(ctx, order)
	}
}

// readReports asks the endpoints of the documents for their reports, also those of other failure
// domains, because a document may specify chains across domains. It passes the fencing numbers of
// this failure domain's endpoints to the lease.
func (c *Controller) readReports(ctx context.Context, documents []*chicoryhall.Document) map[chicoryhall.EndpointID]Report {
	reports := map[chicoryhall.EndpointID]Report{}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxEndpointCalls)
	for _, d := range documents {
		for _, endpoint := range d.Endpoints {
			group.Go(func() error {
				callCtx, cancel := context.WithTimeout(ctx, endpointCallTimeout)
				defer cancel()
				load, err := c.config.Client.Load(callCtx, endpoint.Address)
				mu.Lock()
				defer mu.Unlock()
				// Send no orders to a leaving endpoint: an order would make it accept new work
				// again.
				reports[endpoint.ID] = Report{Load: load, Usable: err == nil && load.State != chicoryhall.EndpointLeaving}
				return nil
			})
		}
	}
	_ = group.Wait() // The functions return no errors.
	for _, d := range documents {
		for _, endpoint := range d.Endpoints {
			if endpoint.FailureDomain == c.config.FailureDomain {
				c.lease.ObserveFence(reports[endpoint.ID].Load.Fence)
			}
		}
	}
	return reports
}

// send sends one order if the lease still allows it. If the order is not sent, is refused or may not
// have arrived, the Planner forgets it.
func (c *Controller) send(ctx context.Context, order Order) {
	if !c.lease.MayOrder(c.config.Timer.Now(), order.Fencing) {
		c.planner.OrderFailed(order.Endpoint)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, endpointCallTimeout)
	defer cancel()
	result, err := c.config.Client.Order(ctx, order.Address, engine.Order{Fence: c.fence, Layers: order.Layers})
	if err == nil && result.Refusal == engine.RefusalOutdatedFence {
		c.lease.ObserveFence(result.Fence)
		err = errors.Errorf("the endpoint has seen the newer fencing number %d", result.Fence)
	}
	if err != nil {
		c.planner.OrderFailed(order.Endpoint)
		c.config.Log.Log(event.OrderFailed, "engine", order.Endpoint, "address", order.Address, "fence", c.fence, "error", err)
		return
	}
	c.config.Log.Log(event.OrderSent, "engine", order.Endpoint, "fence", c.fence, "holdings", len(order.Layers))
}
