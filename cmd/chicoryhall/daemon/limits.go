package daemon

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/limit"
	"chicoryhall.example/chicoryhall/peer"
)

// loanTimeout bounds one loan request to a peer.
const loanTimeout = 500 * time.Millisecond

// rateBorrower borrows unused request rates from the other daemons of the failure domain, for organisations that need more
// than this daemon's part.
type rateBorrower struct {
	limiter *limit.Limiter
	timer   chicoryhall.Timer
	peers   chicoryhall.Peers
	calls   errgroup.Group
}

// buildLimits adds the rate limits of the organisations.
func (b *builder) buildLimits() error {
	limiter := limit.New(b.documents, b.members)
	peer.Handle(b.node, limit.Method, func(_ context.Context, _ chicoryhall.DaemonID, request limit.LoanRequest) (limit.Grant, error) {
		return limiter.Lend(request, b.timer.Now()), nil
	})
	b.limits = limiter
	b.decisions.Add(&rateBorrower{limiter: limiter, timer: b.timer, peers: b.node})
	return nil
}

// Serve sends the loan requests once per limit.LoanRequestPeriod until ctx is done.
func (r *rateBorrower) Serve(ctx context.Context) error {
	tick := r.timer.Every(limit.LoanRequestPeriod, func(now time.Time) { r.borrowAll(ctx, now) })
	<-ctx.Done()
	tick.Cancel()
	_ = r.calls.Wait()
	return ctx.Err()
}

// String returns the component's name for the supervisor's log lines.
func (r *rateBorrower) String() string { return "limits" }

func (r *rateBorrower) borrowAll(ctx context.Context, now time.Time) {
	r.limiter.Tick(now)
	for lender, request := range r.limiter.LoanRequests() {
		r.calls.Go(func() error {
			r.borrow(ctx, lender, request)
			return nil
		})
	}
}

// borrow asks one peer for a loan. A peer that does not answer lends nothing.
func (r *rateBorrower) borrow(ctx context.Context, lender chicoryhall.DaemonID, request limit.LoanRequest) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	sentAt := r.timer.Now()
	grant, err := peer.Call[limit.Grant](ctx, r.peers, lender, limit.Method, request)
	if err == nil {
		r.limiter.Receive(grant, sentAt, r.timer.Now())
	}
}
