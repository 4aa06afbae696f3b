package load

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/client"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/plan"
)

// maxInProgress is the maximum number of requests in progress. Further arrivals are dropped and counted: if they
// waited until others had ended, requests would no longer be sent at the plan's times.
const maxInProgress = 20_000

// warmUpDivisor is the number by which the duration of a run is divided to give its warm-up. The tokens received during
// the warm-up, the first quarter of the run, do not count for TokensPerSecond.
const warmUpDivisor = 4

// Sent is a request that was sent, with what the client received.
type Sent struct {
	Traffic  plan.Traffic
	Request  *client.Request
	Exchange *client.Exchange
}

// FaultInjection is an attempt to inject a fault of the plan that was due during the run.
type FaultInjection struct {
	Fault plan.Fault
	// At is the time of the attempt.
	At time.Time
	// Err is the error if the fault could not be injected, or nil.
	Err error
}

// Outcome contains the requests and faults of a run.
type Outcome struct {
	Started time.Time
	// Duration includes the wait for the requests that were in progress when the last one had been sent.
	Duration   time.Duration
	Sent       []Sent
	Injections []FaultInjection
	// Dropped counts arrivals that were not sent because maxInProgress requests were in progress.
	Dropped int
	// TokensPerSecond is the mean rate of tokens received during the plan's duration without the warm-up.
	TokensPerSecond float64
}

// Runner executes a plan.
type Runner struct {
	plan       *plan.Plan
	kinds      map[chicoryhall.ServiceName]chicoryhall.ServiceKind
	client     *client.Client
	mu         sync.Mutex // guards inProgress, and outcome's Sent, Injections and Dropped; Run alone sets its other fields
	outcome    Outcome
	inProgress int
}

// New returns a Runner for one run. kinds contains the kind of each service in the plan.
func New(p *plan.Plan, kinds map[chicoryhall.ServiceName]chicoryhall.ServiceKind) *Runner {
	return &Runner{plan: p, kinds: kinds}
}

// Run sends the plan's requests and injects its faults. It returns when all requests have ended. If the documents do not
// describe a service of the plan, it returns an error at once, while requests that were already started continue.
func (r *Runner) Run(ctx context.Context) (*Outcome, error) {
	r.outcome.Started = time.Now()
	meter := client.NewTokenMeter(r.outcome.Started, r.plan.Duration)
	r.client = client.New(r.plan.Targets, meter)
	// sendCtx ends the sending of requests. Those in progress continue with ctx.
	sendCtx, cancel := context.WithTimeout(ctx, r.plan.Duration)
	defer cancel()
	var group errgroup.Group
	for index, traffic := range r.plan.Traffic {
		kind, known := r.kinds[traffic.Service]
		if !known {
			return nil, errors.Errorf("traffic[%d]: no document describes service %q", index, traffic.Service)
		}
		generator := newArrivalGenerator(r.plan.Seed, index, traffic, kind)
		group.Go(func() error {
			r.send(ctx, sendCtx, generator)
			return nil
		})
	}
	group.Go(func() error {
		r.injectFaults(sendCtx)
		return nil
	})
	err := group.Wait()
	r.outcome.TokensPerSecond = meter.Rate(r.plan.Duration/warmUpDivisor, r.plan.Duration)
	r.outcome.Duration = time.Since(r.outcome.Started)
	return &r.outcome, err
}

// send sends the requests of one generator until sendCtx is done. It then waits until all of them have ended.
func (r *Runner) send(ctx, sendCtx context.Context, generator *arrivalGenerator) {
	var requests errgroup.Group
	due := time.Now()
	for {
		next := generator.next()
		due = due.Add(next.interval)
		if !sleepUntil(sendCtx, due) {
			break
		}
		if !r.tryStart() {
			continue
		}
		requests.Go(func() error {
			exchange := r.client.Do(ctx, next.request)
			r.recordSent(Sent{Traffic: generator.traffic, Request: next.request, Exchange: exchange})
			return nil
		})
	}
	_ = requests.Wait()
}

// tryStart counts a request as in progress. If there are already maxInProgress, it counts the request as dropped
// instead and returns false.
func (r *Runner) tryStart() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inProgress >= maxInProgress {
		r.outcome.Dropped++
		return false
	}
	r.inProgress++
	return true
}

// recordSent records a request that has ended.
func (r *Runner) recordSent(sent Sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inProgress--
	r.outcome.Sent = append(r.outcome.Sent, sent)
}

// injectFaults injects the faults one after the other, each when it is due. The plan lists them in the order of their
// times. A request to a stand-in can delay the next faults by up to controlTimeout.
func (r *Runner) injectFaults(ctx context.Context) {
	for _, fault := range r.plan.Faults {
		if !sleepUntil(ctx, r.outcome.Started.Add(fault.At)) {
			return
		}
		at := time.Now()
		err := injectFault(ctx, fault)
		r.mu.Lock()
		r.outcome.Injections = append(r.outcome.Injections, FaultInjection{Fault: fault, At: at, Err: err})
		r.mu.Unlock()
	}
}

// sleepUntil waits until the given time. It returns false if ctx is done before.
func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.NewTimer(time.Until(due))
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wait.C:
		return true
	}
}
