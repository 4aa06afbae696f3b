package requests

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/stream"
)

const (
	// claimTimeout limits the time for a claim in the platform's table.
	claimTimeout = time.Second
	// storeTimeout limits one try to store an outcome.
	storeTimeout = 2 * time.Second
	// maxStoreWait limits how long the caller waits for its outcome to be stored.
	maxStoreWait = 300 * time.Millisecond
	// maxStoreTries is the number of tries to store an outcome.
	maxStoreTries = 5
	// callTimeoutFactor is multiplied with the class's target latency to get the timeout of a call.
	// It applies only to idempotent requests, and only if another endpoint and a retry are in hand then.
	callTimeoutFactor = 4
	// minCallTimeout is the shortest timeout of one call.
	minCallTimeout = 200 * time.Millisecond
	// retryAfterClaim is the time that a caller should wait if the table cannot be reached.
	retryAfterClaim = 2 * time.Second
	// retryAfterNotRun is the time that a caller should wait if no endpoint has run the call.
	retryAfterNotRun = time.Second
)

// runPlain runs a request to a plain service. It blocks, so it is called on a goroutine of its own.
func (r *Request) runPlain() {
	ctx, cancel := context.WithDeadline(context.Background(), r.record.Deadline)
	defer cancel()
	if r.class.Idempotent {
		r.finishPlain(r.tryEndpoints(ctx))
		return
	}
	result, claimed := r.claim(ctx)
	if claimed {
		result = r.tryEndpoints(ctx)
		r.storeOutcome(result)
	}
	r.finishPlain(result)
}

func (r *Request) finishPlain(result chicoryhall.Result) {
	r.post(message{run: func() { r.finish(result) }})
}

// abortPlain ends the request early. An admitted request, which has a permit, may have been sent
// already; its outcome is unknown.
func (r *Request) abortPlain(reason stream.Reason) {
	outcome := chicoryhall.OutcomeNotRun
	if r.permit != nil {
		outcome = chicoryhall.OutcomeUnknown
	}
	r.finish(chicoryhall.Result{Outcome: outcome, Reason: reason.String()})
}

// storedOutcome is the outcome as it is stored with a claim.
type storedOutcome struct {
	Outcome chicoryhall.Outcome `json:"outcome"`
	Body    string              `json:"body"`
}

// claim claims the request's idempotency key. If it could not be claimed, the result is final.
func (r *Request) claim(ctx context.Context) (result chicoryhall.Result, claimed bool) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	fingerprint := fmt.Sprintf("%016x", r.fingerprint)
	claim, err := r.config().Claims.Claim(ctx, r.record.Organisation, r.record.Service, r.record.IdempotencyKey, fingerprint)
	if err != nil {
		r.config().Log.Log(event.ClaimFailed, "request", r.record.ID, "error", err)
		return chicoryhall.Result{Outcome: chicoryhall.OutcomeNotRun, Reason: stream.ReasonClaimFailed.String(), RetryAfter: retryAfterClaim}, false
	}
	switch {
	case claim.State == chicoryhall.ClaimOurs:
		return chicoryhall.Result{}, true
	case claim.Fingerprint != "" && claim.Fingerprint != fingerprint:
		return chicoryhall.Result{Outcome: chicoryhall.OutcomeNotRun, Reason: ReasonKeyReused}, false
	case claim.State == chicoryhall.ClaimDone:
		return parseStoredOutcome(claim.Answer), false
	default:
		return chicoryhall.Result{Outcome: chicoryhall.OutcomeUnknown, Reason: ReasonClaimTaken}, false
	}
}

// The reasons of results that package stream does not have.
const (
	// ReasonKeyReused means that the idempotency key was used before with another request.
	ReasonKeyReused = "key-reused"
	// ReasonClaimTaken means that an earlier submission with the key may be running or may have
	// run.
	ReasonClaimTaken = "claim-taken"
	// ReasonCallFailed means that the call may have reached the endpoint but got no valid answer.
	ReasonCallFailed = "call-failed"
)

// parseStoredOutcome returns the result that is stored with a claim. A text that is not a
// storedOutcome in JSON counts as the body of an answer.
func parseStoredOutcome(stored string) chicoryhall.Result {
	var outcome storedOutcome
	if err := json.Unmarshal([]byte(stored), &outcome); err != nil {
		return chicoryhall.Result{Outcome: chicoryhall.OutcomeAnswered, Body: stored}
	}
	result := chicoryhall.Result{Outcome: outcome.Outcome, Body: outcome.Body}
	if outcome.Outcome == chicoryhall.OutcomeNotRun {
		// storeOnce releases the claim of such a request and does not store this outcome. Should it be
		// stored all the same, its reason is unknown, and ReasonNoRoute is given instead.
		result.Reason = stream.ReasonNoRoute.String()
	}
	return result
}

// storeOutcome stores the outcome of a claimed request on another goroutine. It waits until the
// outcome is stored, but at most maxStoreWait, so that an immediate repeat of the request usually
// finds the outcome.
func (r *Request) storeOutcome(result chicoryhall.Result) {
	if result.Outcome == chicoryhall.OutcomeUnknown {
		// A claim without an outcome already means that the outcome is unknown.
		return
	}
	text, err := json.Marshal(storedOutcome{Outcome: result.Outcome, Body: result.Body})
	if err != nil {
		return
	}
	r.service.storing.Add(1)
	stored := make(chan struct{})
	r.service.background.Go(func() error {
		defer r.service.storing.Add(-1)
		defer close(stored)
		r.storeWithRetries(result.Outcome, string(text))
		return nil
	})
	timedOut := make(chan struct{})
	wait := r.config().Timer.After(maxStoreWait, func(time.Time) { close(timedOut) })
	defer wait.Cancel()
	select {
	case <-stored:
	case <-timedOut:
	}
}

// storeOnce makes one try to store an outcome; for a request that was not run it releases the
// claim.
func (r *Request) storeOnce(ctx context.Context, outcome chicoryhall.Outcome, text string) error {
	if outcome == chicoryhall.OutcomeNotRun {
		return r.config().Claims.Release(ctx, r.record.Organisation, r.record.Service, r.record.IdempotencyKey)
	}
	return r.config().Claims.Record(ctx, r.record.Organisation, r.record.Service, r.record.IdempotencyKey, text)
}

func (r *Request) storeWithRetries(outcome chicoryhall.Outcome, text string) {
	for try := 1; try <= maxStoreTries; try++ {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		err := r.storeOnce(ctx, outcome, text)
		cancel()
		if err == nil {
			return
		}
		r.config().Log.Log(event.OutcomeNotStored, "request", r.record.ID, "try", try, "error", err)
	}
}

// tryEndpoints calls one endpoint after another as long as a retry is allowed.
func (r *Request) tryEndpoints(ctx context.Context) chicoryhall.Result {
	var tried []chicoryhall.EndpointID
	hasRetry := false
	result := chicoryhall.Result{Outcome: chicoryhall.OutcomeNotRun, Reason: stream.ReasonNoRoute.String(), RetryAfter: retryAfterNotRun}
	for r.mayTryAfter(tried) {
		endpoint, found := r.leastLoaded(tried)
		if !found {
			return result
		}
		if len(tried) > 0 && !hasRetry {
			if allowed, retryAfter := r.config().RetryBudgets.Take(r.record.Service); !allowed {
				result.RetryAfter = retryAfter
				return result
			}
		}
		tried = append(tried, endpoint.ID)
		callCtx, release := r.limitCall(ctx, slices.Clone(tried))
		next, retry := r.callEndpoint(callCtx, endpoint)
		hasRetry = release()
		if result.Outcome == chicoryhall.OutcomeUnknown && next.Outcome == chicoryhall.OutcomeNotRun {
			// The earlier call may have run.
			next.Outcome = chicoryhall.OutcomeUnknown
		}
		result = next
		if !retry || ctx.Err() != nil {
			return result
		}
	}
	return result
}

// mayTryAfter reports whether another endpoint may be called after those that were tried.
func (r *Request) mayTryAfter(tried []chicoryhall.EndpointID) bool {
	return len(tried) < max(1, r.document.Retries.MaxEndpoints)
}

// limitCall returns the context of a call. The context of an idempotent call ends after its timeout if the call may run at
// another endpoint then; otherwise the call goes on, as a slow endpoint has not failed. release ends the context and reports
// whether a retry was taken from the budget for that.
func (r *Request) limitCall(ctx context.Context, tried []chicoryhall.EndpointID) (callCtx context.Context, release func() bool) {
	callCtx, cancel := context.WithCancel(ctx)
	if !r.class.Idempotent {
		return callCtx, func() bool {
			cancel()
			return false
		}
	}
	var taken atomic.Bool
	timeout := max(minCallTimeout, callTimeoutFactor*r.class.TargetLatency)
	timer := r.config().Timer.After(timeout, func(time.Time) {
		if _, found := r.leastLoaded(tried); found && r.mayTryAfter(tried) && r.takeRetry() {
			taken.Store(true)
			cancel()
		}
	})
	return callCtx, func() bool {
		timer.Cancel()
		cancel()
		return taken.Load()
	}
}

func (r *Request) takeRetry() bool {
	allowed, _ := r.config().RetryBudgets.Take(r.record.Service)
	return allowed
}

// callEndpoint calls an endpoint; retry reports whether another one may be called.
func (r *Request) callEndpoint(ctx context.Context, endpoint *chicoryhall.DocumentEndpoint) (result chicoryhall.Result, retry bool) {
	r.config().Endpoints.Begin(endpoint.ID)
	defer r.config().Endpoints.End(endpoint.ID)
	answer, err := r.config().Engines.Call(ctx, endpoint.Address, r.callMessage())
	if err == nil && answer.Started {
		r.config().Endpoints.Observe(endpoint.ID, chicoryhall.ObservedProgress)
		return chicoryhall.Result{Outcome: chicoryhall.OutcomeAnswered, Body: answer.Body}, false
	}
	if err == nil {
		if answer.Refusal == engine.RefusalLeaving {
			r.config().Endpoints.Observe(endpoint.ID, chicoryhall.ObservedLeaving)
		}
		return chicoryhall.Result{
			Outcome: chicoryhall.OutcomeNotRun, Reason: stream.ReasonEndpointRefused.String(), RetryAfter: retryAfterNotRun,
		}, true
	}
	return r.resultOfFailedCall(endpoint, err)
}

// resultOfFailedCall returns the result of a call without an answer. It is certain that the call
// was not run only if no byte of it was sent.
func (r *Request) resultOfFailedCall(endpoint *chicoryhall.DocumentEndpoint, err error) (result chicoryhall.Result, retry bool) {
	r.config().Log.Log(event.CallFailed, "request", r.record.ID, "endpoint", endpoint.ID, "error", err)
	sent := true
	var failure *engine.Error
	if errors.As(err, &failure) {
		sent = failure.Sent()
		r.observeCall(endpoint, failure.Kind())
	}
	if !sent {
		return chicoryhall.Result{
			Outcome: chicoryhall.OutcomeNotRun, Reason: stream.ReasonEndpointFailed.String(), RetryAfter: retryAfterNotRun,
		}, true
	}
	return chicoryhall.Result{Outcome: chicoryhall.OutcomeUnknown, Reason: ReasonCallFailed}, r.class.Idempotent
}

func (r *Request) observeCall(endpoint *chicoryhall.DocumentEndpoint, kind engine.FailureKind) {
	switch kind {
	case engine.FailureRefused:
		r.config().Endpoints.Observe(endpoint.ID, chicoryhall.ObservedRefusedConnection)
	case engine.FailureUnreachable:
		r.config().Endpoints.Observe(endpoint.ID, chicoryhall.ObservedSilence)
	case engine.FailureBroken:
		r.config().Endpoints.Observe(endpoint.ID, chicoryhall.ObservedBrokenConnection)
	case engine.FailureSilent, engine.FailureStatus, engine.FailureMalformed, engine.FailureClosed:
	}
}

func (r *Request) callMessage() engine.Call {
	remaining := r.record.Deadline.Sub(r.config().Timer.Now())
	return engine.Call{
		Request: r.record.ID, Operation: r.record.Operation, Body: r.record.Body, Idempotent: r.class.Idempotent,
		TimeoutMillis: remaining.Milliseconds(), TraceParent: r.record.TraceParent,
	}
}

// leastLoaded returns the ready endpoint with the fewest requests among those not tried yet. An
// endpoint in another failure domain counts as having one request more.
func (r *Request) leastLoaded(tried []chicoryhall.EndpointID) (*chicoryhall.DocumentEndpoint, bool) {
	var best *chicoryhall.DocumentEndpoint
	bestWork := 0
	for i := range r.document.Endpoints {
		endpoint := &r.document.Endpoints[i]
		view := r.config().Endpoints.View(endpoint.ID)
		if view.State != chicoryhall.EndpointReady || slices.Contains(tried, endpoint.ID) {
			continue
		}
		work := view.InFlight + view.Load.Running + view.Load.Waiting
		if endpoint.FailureDomain != r.config().FailureDomain {
			work++
		}
		if best == nil || work < bestWork {
			best, bestWork = endpoint, work
		}
	}
	return best, best != nil
}
