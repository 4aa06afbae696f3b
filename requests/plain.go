package requests

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/stream"
)

const (
	// claimTimeout bounds the wait for the platform's table.
	claimTimeout = time.Second
	// recordTimeout bounds one try to store an outcome.
	recordTimeout = 2 * time.Second
	// recordWait bounds how long the caller waits for its outcome to be stored.
	recordWait = 300 * time.Millisecond
	// recordTries is the number of tries to store an outcome.
	recordTries = 5
	// tryFactor multiplies the class's wanted answer time for one try of an idempotent call.
	tryFactor = 4
	// minTry is the least time for one try.
	minTry = 200 * time.Millisecond
	// retryAfterClaim is the time to come back when the table is out of reach.
	retryAfterClaim = 2 * time.Second
	// retryAfterPlain is the time to come back when no endpoint took the call.
	retryAfterPlain = time.Second
)

// runPlain calls one endpoint of a plain service; it runs on a goroutine of its own.
func (r *Request) runPlain() {
	ctx, cancel := context.WithDeadline(context.Background(), r.record.Deadline)
	defer cancel()
	if r.class.Idempotent {
		r.finishPlain(r.tryEndpoints(ctx))
		return
	}
	result, ours := r.claim(ctx)
	if ours {
		result = r.tryEndpoints(ctx)
		r.recordOutcome(result)
	}
	r.finishPlain(result)
}

func (r *Request) finishPlain(result chicoryhall.Result) {
	r.post(message{call: func() { r.finish(result) }})
}

// endPlain gives a call up; one that may have been sent ends as unknown.
func (r *Request) endPlain(reason stream.Reason) {
	outcome := chicoryhall.OutcomeNotRun
	if r.permit != nil {
		outcome = chicoryhall.OutcomeUnknown
	}
	r.finish(chicoryhall.Result{Outcome: outcome, Reason: reason.String()})
}

// storedOutcome is what the claim's row keeps.
type storedOutcome struct {
	Outcome chicoryhall.Outcome `json:"outcome"`
	Body    string              `json:"body"`
}

// claim inserts the request's key; unless it is ours, the result is final.
func (r *Request) claim(ctx context.Context) (result chicoryhall.Result, ours bool) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	fingerprint := fmt.Sprintf("%016x", r.fingerprint)
	claim, err := r.parts().Claims.Claim(ctx, r.record.Organisation, r.record.Service, r.record.IdempotencyKey, fingerprint)
	if err != nil {
		r.parts().Log.Log(event.ClaimFailed, "request", r.record.ID, "error", err)
		return chicoryhall.Result{Outcome: chicoryhall.OutcomeNotRun, Reason: stream.ReasonClaimFailed.String(), RetryAfter: retryAfterClaim}, false
	}
	switch {
	case claim.State == chicoryhall.ClaimOurs:
		return chicoryhall.Result{}, true
	case claim.Fingerprint != "" && claim.Fingerprint != fingerprint:
		return chicoryhall.Result{Outcome: chicoryhall.OutcomeNotRun, Reason: ReasonKeyReused}, false
	case claim.State == chicoryhall.ClaimDone:
		return resultOf(claim.Answer), false
	default:
		return chicoryhall.Result{Outcome: chicoryhall.OutcomeUnknown, Reason: ReasonClaimTaken}, false
	}
}

// The reasons of results that no stream has.
const (
	// ReasonKeyReused means that the idempotency key came with another request before.
	ReasonKeyReused = "key-reused"
	// ReasonClaimTaken means that another try of the key may be running or may have run.
	ReasonClaimTaken = "claim-taken"
	// ReasonCallFailed means that the endpoint failed after it got the call.
	ReasonCallFailed = "call-failed"
)

// resultOf reads a stored outcome; text of another form is the answer itself.
func resultOf(stored string) chicoryhall.Result {
	var outcome storedOutcome
	if err := json.Unmarshal([]byte(stored), &outcome); err != nil {
		return chicoryhall.Result{Outcome: chicoryhall.OutcomeAnswered, Body: stored}
	}
	result := chicoryhall.Result{Outcome: outcome.Outcome, Body: outcome.Body}
	if outcome.Outcome == chicoryhall.OutcomeNotRun {
		result.Reason = stream.ReasonNoRoute.String()
	}
	return result
}

// recordOutcome stores what became of a claimed call, before the caller is told if the table
// takes it within recordWait, so that a repeat at once finds it.
func (r *Request) recordOutcome(result chicoryhall.Result) {
	if result.Outcome == chicoryhall.OutcomeUnknown {
		// A claim without an outcome means unknown.
		return
	}
	text, err := json.Marshal(storedOutcome{Outcome: result.Outcome, Body: result.Body})
	if err != nil {
		return
	}
	r.service.storing.Add(1)
	stored := make(chan struct{})
	r.service.work.Go(func() error {
		defer r.service.storing.Add(-1)
		defer close(stored)
		r.storeOutcome(result.Outcome, string(text))
		return nil
	})
	late := make(chan struct{})
	wait := r.parts().Timer.After(recordWait, func(time.Time) { close(late) })
	defer wait.Cancel()
	select {
	case <-stored:
	case <-late:
	}
}

// settleClaim stores an answer, or lets a repeat run what was not run.
func (r *Request) settleClaim(ctx context.Context, outcome chicoryhall.Outcome, text string) error {
	if outcome == chicoryhall.OutcomeNotRun {
		return r.parts().Claims.Release(ctx, r.record.Organisation, r.record.Service, r.record.IdempotencyKey)
	}
	return r.parts().Claims.Record(ctx, r.record.Organisation, r.record.Service, r.record.IdempotencyKey, text)
}

func (r *Request) storeOutcome(outcome chicoryhall.Outcome, text string) {
	for try := 1; try <= recordTries; try++ {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		err := r.settleClaim(ctx, outcome, text)
		cancel()
		if err == nil {
			return
		}
		r.parts().Log.Log(event.OutcomeNotStored, "request", r.record.ID, "try", try, "error", err)
	}
}

// tryEndpoints calls one endpoint after another as long as a repeat is allowed.
func (r *Request) tryEndpoints(ctx context.Context) chicoryhall.Result {
	var met []chicoryhall.EndpointID
	result := chicoryhall.Result{Outcome: chicoryhall.OutcomeNotRun, Reason: stream.ReasonNoRoute.String(), RetryAfter: retryAfterPlain}
	for len(met) < max(1, r.document.Retries.MaxEndpoints) {
		endpoint, found := r.leastLoaded(met)
		if !found {
			return result
		}
		if len(met) > 0 {
			if allowed, retryAfter := r.parts().RetryBudgets.Take(r.record.Service); !allowed {
				result.RetryAfter = retryAfter
				return result
			}
		}
		met = append(met, endpoint.ID)
		next, again := r.callOnce(ctx, endpoint)
		if result.Outcome == chicoryhall.OutcomeUnknown && next.Outcome == chicoryhall.OutcomeNotRun {
			// An earlier try may have run.
			next.Outcome = chicoryhall.OutcomeUnknown
		}
		result = next
		if !again || ctx.Err() != nil {
			return result
		}
	}
	return result
}

// callOnce calls an endpoint; again tells that another one may be tried.
func (r *Request) callOnce(ctx context.Context, endpoint *chicoryhall.DocumentEndpoint) (result chicoryhall.Result, again bool) {
	if r.class.Idempotent {
		limit := max(minTry, tryFactor*r.class.TargetLatency)
		short, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		ctx = short
	}
	r.parts().Endpoints.Begin(endpoint.ID)
	defer r.parts().Endpoints.End(endpoint.ID)
	answer, err := r.parts().Engines.Call(ctx, endpoint.Address, r.call())
	if err == nil && answer.Started {
		r.parts().Endpoints.Observe(endpoint.ID, chicoryhall.ObservedProgress)
		return chicoryhall.Result{Outcome: chicoryhall.OutcomeAnswered, Body: answer.Body}, false
	}
	if err == nil {
		if answer.Refusal == engine.RefusalLeaving {
			r.parts().Endpoints.Observe(endpoint.ID, chicoryhall.ObservedLeaving)
		}
		return chicoryhall.Result{
			Outcome: chicoryhall.OutcomeNotRun, Reason: stream.ReasonEndpointRefused.String(), RetryAfter: retryAfterPlain,
		}, true
	}
	return r.callFailed(endpoint, err)
}

// callFailed judges a call without an answer: it was not run only if no byte was sent.
func (r *Request) callFailed(endpoint *chicoryhall.DocumentEndpoint, err error) (result chicoryhall.Result, again bool) {
	r.parts().Log.Log(event.CallFailed, "request", r.record.ID, "endpoint", endpoint.ID, "error", err)
	sent := true
	var failure *engine.Error
	if errors.As(err, &failure) {
		sent = failure.Sent()
		r.observeCall(endpoint, failure.Kind())
	}
	if !sent {
		return chicoryhall.Result{
			Outcome: chicoryhall.OutcomeNotRun, Reason: stream.ReasonEndpointFailed.String(), RetryAfter: retryAfterPlain,
		}, true
	}
	return chicoryhall.Result{Outcome: chicoryhall.OutcomeUnknown, Reason: ReasonCallFailed}, r.class.Idempotent
}

func (r *Request) observeCall(endpoint *chicoryhall.DocumentEndpoint, kind engine.FailureKind) {
	switch kind {
	case engine.FailureRefused:
		r.parts().Endpoints.Observe(endpoint.ID, chicoryhall.ObservedRefusedConnection)
	case engine.FailureUnreachable:
		r.parts().Endpoints.Observe(endpoint.ID, chicoryhall.ObservedSilence)
	case engine.FailureBroken:
		r.parts().Endpoints.Observe(endpoint.ID, chicoryhall.ObservedBrokenConnection)
	case engine.FailureSilent, engine.FailureStatus, engine.FailureMalformed, engine.FailureClosed:
	}
}

func (r *Request) call() engine.Call {
	remaining := r.record.Deadline.Sub(r.parts().Timer.Now())
	return engine.Call{
		Request: r.record.ID, Operation: r.record.Operation, Body: r.record.Body, Idempotent: r.class.Idempotent,
		TimeoutMillis: remaining.Milliseconds(), TraceParent: r.record.TraceParent,
	}
}

// leastLoaded returns the ready endpoint with the least work among those not met.
func (r *Request) leastLoaded(met []chicoryhall.EndpointID) (*chicoryhall.DocumentEndpoint, bool) {
	var best *chicoryhall.DocumentEndpoint
	bestWork := 0
	for i := range r.document.Endpoints {
		endpoint := &r.document.Endpoints[i]
		view := r.parts().Endpoints.View(endpoint.ID)
		if view.State != chicoryhall.EndpointReady || slices.Contains(met, endpoint.ID) {
			continue
		}
		work := view.InFlight + view.Load.Running + view.Load.Waiting
		if endpoint.FailureDomain != r.parts().FailureDomain {
			work++
		}
		if best == nil || work < bestWork {
			best, bestWork = endpoint, work
		}
	}
	return best, best != nil
}
