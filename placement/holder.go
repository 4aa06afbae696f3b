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

// The times and bounds of a Holder.
const (
	workPeriod        = time.Second
	tableCallTimeout  = 2 * time.Second
	engineCallTimeout = time.Second
	maxEngineCalls    = 16
)

// Options are the times and bounds under which a Holder gives orders; they must be the same at all
// daemons of a failure domain.
type Options struct {
	// LeaseDuration is how long a lease is good after its last write; the holder stops LeaseMargin
	// before.
	LeaseDuration time.Duration
	LeaseMargin   time.Duration
	// MaxPause bounds the time from a look at the lease to the arrival of an order.
	MaxPause time.Duration
	// LeaseCheckPeriod lies between two looks at the lease's row, or between two renewals.
	LeaseCheckPeriod time.Duration
	// IsCandidate tells whether this daemon seeks the lease now, or is nil where every daemon does;
	// a daemon that is none looks at the row once in idleSeeks periods.
	IsCandidate func() bool
	// MaxConcurrentLoads is how many engines of the failure domain load weights at once.
	MaxConcurrentLoads int
	// SingleRange tells that an engine holds one range only.
	SingleRange bool
}

// DefaultOptions suit engines that ignore fencing numbers and a weight store with a low rate.
func DefaultOptions() Options {
	return Options{
		LeaseDuration: 15 * time.Second, LeaseMargin: 5 * time.Second, MaxPause: 30 * time.Second,
		LeaseCheckPeriod: 3 * time.Second, MaxConcurrentLoads: 2,
	}
}

// leasePrefix begins the keys of the leases in the table.
const leasePrefix = "leases/"

// EndpointClient is what a Holder needs of the engine client.
type EndpointClient interface {
	// Load polls an engine's load report.
	Load(ctx context.Context, address string) (chicoryhall.LoadReport, error)
	// Order gives an engine the state that it shall reach.
	Order(ctx context.Context, address string, order engine.Order) (engine.OrderResult, error)
}

// ControllerConfig are what a Holder needs.
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

// Controller seeks the failure domain's lease and gives orders while it holds it.
type Controller struct {
	config  ControllerConfig
	lease   *lease.Lease
	planner *Planner
	fence   int64
}

// NewController returns a Holder that works once Serve runs.
func NewController(parts ControllerConfig) *Controller {
	return &Controller{config: parts, lease: lease.New(lease.Config{
		Self: parts.Self, Key: leasePrefix + string(parts.FailureDomain),
		Duration: parts.Options.LeaseDuration, Margin: parts.Options.LeaseMargin, MaxPause: parts.Options.MaxPause,
	})}
}

// Serve seeks and uses the lease until ctx ends.
func (h *Controller) Serve(ctx context.Context) error {
	due := make(chan struct{}, 1)
	ticks := h.config.Timer.Every(workPeriod, func(time.Time) {
		select {
		case due <- struct{}{}:
		default:
		}
	})
	defer ticks.Cancel()
	var lastRead time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-due:
		}
		now := h.config.Timer.Now()
		if now.Sub(lastRead) >= h.leaseCheckPeriod() {
			lastRead = now
			h.checkLease(ctx)
		}
		if h.lease.Valid(h.config.Timer.Now()) {
			h.sendOrders(ctx)
		}
	}
}

// nonCandidateFactor is how many times as rarely a daemon that is no candidate looks at the lease's row.
const nonCandidateFactor = 10

// leaseCheckPeriod is the time between two looks at the lease's row.
func (h *Controller) leaseCheckPeriod() time.Duration {
	period := h.config.Options.LeaseCheckPeriod
	if !h.lease.Valid(h.config.Timer.Now()) && h.config.Options.IsCandidate != nil && !h.config.Options.IsCandidate() {
		period *= nonCandidateFactor
	}
	return period
}

// checkLease reads the lease's row and writes it when that is due; a holder writes without a read, as
// the write's condition shows whether the row is still its own.
func (h *Controller) checkLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	if !h.lease.Valid(h.config.Timer.Now()) {
		row, _, err := h.config.Table.Row(ctx, leasePrefix+string(h.config.FailureDomain))
		if err == nil {
			err = h.lease.ObserveRow(row, h.config.Timer.Now())
		}
		if err != nil {
			h.config.Log.Log(event.StoreCallFailed, "step", "read the lease", "error", err)
			return
		}
	}
	if !h.lease.WriteDue(h.config.Timer.Now()) {
		return
	}
	sent := h.config.Timer.Now()
	transaction := h.lease.NewTransaction(rand.Text())
	result, err := table.Settle(ctx, h.config.Table, transaction)
	if other, conflict := table.AsConflict(err); conflict {
		err = h.lease.WriteConflicted(other, h.config.Timer.Now())
	} else if err == nil {
		err = h.lease.WriteConfirmed(transaction, result.Versions[0], sent)
	}
	if err == nil && h.lease.Valid(h.config.Timer.Now()) && h.lease.Fence() != h.fence {
		h.startTerm()
	}
}

// startTerm starts a new term with a planner that has seen nothing.
func (h *Controller) startTerm() {
	h.fence = h.lease.Fence()
	h.planner = NewPlanner(PlannerConfig{
		FailureDomain: h.config.FailureDomain, MaxConcurrentLoads: h.config.Options.MaxConcurrentLoads,
		SingleRange: h.config.Options.SingleRange,
	})
	h.config.Log.Log(event.LeaseAcquired, "failureDomain", h.config.FailureDomain, "fence", h.fence)
}

// sendOrders reads the engines back and gives the orders that are due.
func (h *Controller) sendOrders(ctx context.Context) {
	var documents []*chicoryhall.Document
	for _, inForce := range h.config.Documents.All() {
		if inForce.Document.Kind == chicoryhall.ServicePipeline {
			documents = append(documents, inForce.Document)
		}
	}
	reports := h.readReports(ctx, documents)
	for _, order := range h.planner.Plan(documents, reports, h.config.Timer.Now()) {
		h.send(ctx, order)
	}
}

// readReports asks every engine of the documents for its state.
func (h *Controller) readReports(ctx context.Context, documents []*chicoryhall.Document) map[chicoryhall.EndpointID]Report {
	reports := map[chicoryhall.EndpointID]Report{}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxEngineCalls)
	for _, d := range documents {
		for _, endpoint := range d.Endpoints {
			group.Go(func() error {
				short, cancel := context.WithTimeout(ctx, engineCallTimeout)
				defer cancel()
				load, err := h.config.Client.Load(short, endpoint.Address)
				mu.Lock()
				defer mu.Unlock()
				// A leaving engine gets no orders: one would make it take new work again.
				reports[endpoint.ID] = Report{Load: load, Known: err == nil && load.State != chicoryhall.EndpointLeaving}
				return nil
			})
		}
	}
	_ = group.Wait() // The functions return no errors.
	for _, d := range documents {
		for _, endpoint := range d.Endpoints {
			if endpoint.FailureDomain == h.config.FailureDomain {
				h.lease.ObserveFence(reports[endpoint.ID].Load.Fence)
			}
		}
	}
	return reports
}

// send sends one order if the lease allows it at this moment.
func (h *Controller) send(ctx context.Context, order Order) {
	if !h.lease.MayOrder(h.config.Timer.Now(), order.Fencing) {
		h.planner.OrderFailed(order.Endpoint)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	result, err := h.config.Client.Order(ctx, order.Address, engine.Order{Fence: h.fence, Layers: order.Layers})
	if err == nil && result.Refusal == engine.RefusalOutdatedFence {
		h.lease.ObserveFence(result.Fence)
		err = errors.Errorf("the engine has seen the newer fencing number %d", result.Fence)
	}
	if err != nil {
		h.planner.OrderFailed(order.Endpoint)
		h.config.Log.Log(event.OrderFailed, "engine", order.Endpoint, "address", order.Address, "fence", h.fence, "error", err)
		return
	}
	h.config.Log.Log(event.OrderSent, "engine", order.Endpoint, "fence", h.fence, "holdings", len(order.Layers))
}
