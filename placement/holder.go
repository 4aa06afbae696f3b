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

// Terms are the times and bounds under which a Holder gives orders; they must be the same at all
// daemons of a failure domain.
type Terms struct {
	// LeaseDuration is how long a lease is good after its last write; the holder stops LeaseMargin
	// before.
	LeaseDuration time.Duration
	LeaseMargin   time.Duration
	// LongestPause bounds the time from a look at the lease to the arrival of an order.
	LongestPause time.Duration
	// SeekPeriod lies between two looks at the lease's row, or between two renewals.
	SeekPeriod time.Duration
	// IsCandidate tells whether this daemon seeks the lease now, or is nil where every daemon does;
	// a daemon that is none looks at the row once in idleSeeks periods.
	IsCandidate func() bool
	// MaxLoads is how many engines of the failure domain load weights at once.
	MaxLoads int
	// SingleRange tells that an engine holds one range only.
	SingleRange bool
}

// DefaultTerms suit engines that ignore fencing numbers and a weight store with a low rate.
func DefaultTerms() Terms {
	return Terms{
		LeaseDuration: 15 * time.Second, LeaseMargin: 5 * time.Second, LongestPause: 30 * time.Second,
		SeekPeriod: 3 * time.Second, MaxLoads: 2,
	}
}

// leasePrefix begins the keys of the leases in the table.
const leasePrefix = "leases/"

// Engines is what a Holder needs of the engine client.
type Engines interface {
	// Load polls an engine's load report.
	Load(ctx context.Context, address string) (chicoryhall.LoadReport, error)
	// Order gives an engine the state that it shall reach.
	Order(ctx context.Context, address string, order engine.Order) (engine.OrderResult, error)
}

// Parts are what a Holder needs.
type Parts struct {
	Self          chicoryhall.DaemonID
	FailureDomain chicoryhall.FailureDomain
	Table         chicoryhall.Table
	Documents     chicoryhall.Documents
	Engines       Engines
	Timer         chicoryhall.Timer
	Terms         Terms
	Log           *event.Logger
}

// Holder seeks the failure domain's lease and gives orders while it holds it.
type Holder struct {
	config  Parts
	lease   *lease.Lease
	planner *Planner
	fence   int64
}

// NewHolder returns a Holder that works once Serve runs.
func NewHolder(parts Parts) *Holder {
	return &Holder{config: parts, lease: lease.New(lease.Config{
		Self: parts.Self, Key: leasePrefix + string(parts.FailureDomain),
		Duration: parts.Terms.LeaseDuration, Margin: parts.Terms.LeaseMargin, LongestPause: parts.Terms.LongestPause,
	})}
}

// Serve seeks and uses the lease until ctx ends.
func (h *Holder) Serve(ctx context.Context) error {
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
func (h *Holder) leaseCheckPeriod() time.Duration {
	period := h.config.Terms.SeekPeriod
	if !h.lease.Valid(h.config.Timer.Now()) && h.config.Terms.IsCandidate != nil && !h.config.Terms.IsCandidate() {
		period *= nonCandidateFactor
	}
	return period
}

// checkLease reads the lease's row and writes it when that is due; a holder writes without a read, as
// the write's condition shows whether the row is still its own.
func (h *Holder) checkLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	if !h.lease.Valid(h.config.Timer.Now()) {
		row, _, err := h.config.Table.Row(ctx, leasePrefix+string(h.config.FailureDomain))
		if err == nil {
			err = h.lease.Read(row, h.config.Timer.Now())
		}
		if err != nil {
			h.config.Log.Log(event.StoreCallFailed, "step", "read the lease", "error", err)
			return
		}
	}
	if !h.lease.Wants(h.config.Timer.Now()) {
		return
	}
	sent := h.config.Timer.Now()
	transaction := h.lease.Write(rand.Text())
	result, err := table.Settle(ctx, h.config.Table, transaction)
	if other, conflict := table.AsConflict(err); conflict {
		err = h.lease.Refused(other, h.config.Timer.Now())
	} else if err == nil {
		err = h.lease.Wrote(transaction, result.Versions[0], sent)
	}
	if err == nil && h.lease.Valid(h.config.Timer.Now()) && h.lease.Fence() != h.fence {
		h.startTerm()
	}
}

// startTerm starts a new term with a planner that has seen nothing.
func (h *Holder) startTerm() {
	h.fence = h.lease.Fence()
	h.planner = NewPlanner(Config{
		FailureDomain: h.config.FailureDomain, MaxLoads: h.config.Terms.MaxLoads,
		SingleRange: h.config.Terms.SingleRange,
	})
	h.config.Log.Log(event.LeaseAcquired, "failureDomain", h.config.FailureDomain, "fence", h.fence)
}

// sendOrders reads the engines back and gives the orders that are due.
func (h *Holder) sendOrders(ctx context.Context) {
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
func (h *Holder) readReports(ctx context.Context, documents []*chicoryhall.Document) map[chicoryhall.EndpointID]Report {
	reports := map[chicoryhall.EndpointID]Report{}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxEngineCalls)
	for _, d := range documents {
		for _, endpoint := range d.Endpoints {
			group.Go(func() error {
				short, cancel := context.WithTimeout(ctx, engineCallTimeout)
				defer cancel()
				load, err := h.config.Engines.Load(short, endpoint.Address)
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
				h.lease.Observe(reports[endpoint.ID].Load.Fence)
			}
		}
	}
	return reports
}

// send sends one order if the lease allows it at this moment.
func (h *Holder) send(ctx context.Context, order Order) {
	if !h.lease.MayOrder(h.config.Timer.Now(), order.Fencing) {
		h.planner.Failed(order.Engine)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	result, err := h.config.Engines.Order(ctx, order.Address, engine.Order{Fence: h.fence, Layers: order.Holdings})
	if err == nil && result.Refusal == engine.RefusalOutdatedFence {
		h.lease.Observe(result.Fence)
		err = errors.Errorf("the engine has seen the newer fencing number %d", result.Fence)
	}
	if err != nil {
		h.planner.Failed(order.Engine)
		h.config.Log.Log(event.OrderFailed, "engine", order.Engine, "address", order.Address, "fence", h.fence, "error", err)
		return
	}
	h.config.Log.Log(event.OrderSent, "engine", order.Engine, "fence", h.fence, "holdings", len(order.Holdings))
}
