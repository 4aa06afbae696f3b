package requests

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/stream"
)

const (
	// raiseAttemptTimeout limits the wait for the backup to have a new attempt number. After it, and
	// after any error but ErrTakenOver, the attempt begins all the same. A daemon that takes over
	// begins with a number higher than any of this daemon, whichever one the backup has (see package
	// holder), and tokens are delivered only when the backup has them.
	raiseAttemptTimeout = time.Second
)

// step gives an input to the machine and executes the resulting actions.
func (r *Request) step(in stream.Input) {
	defer r.holdPermit()()
	r.execute(r.machine.Step(r.config().Timer.Now(), in))
}

// holdPermit tells the machine whether the open attempt has been sent, and prevents that it is sent until release is called.
func (r *Request) holdPermit() (release func()) {
	permit := r.sending
	if permit == nil {
		return func() {}
	}
	permit.mu.Lock()
	if permit.learn() {
		r.execute(r.machine.Step(r.config().Timer.Now(), stream.Input{Kind: stream.InputSending, Attempt: r.sendingAttempt}))
	}
	return permit.mu.Unlock
}

func (r *Request) stepEvents(attempt int, events []engine.Event) {
	defer r.holdPermit()()
	now := r.config().Timer.Now()
	r.execute(r.machine.StepEvents(now, attempt, events))
	r.checkProbation()
}

func (r *Request) execute(actions []stream.Action) {
	for i := range actions {
		r.executeAction(&actions[i])
	}
}

func (r *Request) executeAction(action *stream.Action) {
	switch action.Kind {
	case stream.ActionChooseRoute:
		r.chooseRoute(action)
	case stream.ActionRaiseAttempt:
		r.raiseAttempt(action.Attempt)
	case stream.ActionOpenAttempt:
		r.openAttempt(*action)
	case stream.ActionAbandonAttempt:
		r.abandonAttempt(action)
	case stream.ActionReplicate:
		r.replicate(action)
	case stream.ActionDeliver:
		r.deliver(action)
	case stream.ActionProbe:
		r.probe(action.Attempt, action.Engine, action.Address)
	case stream.ActionAwaitProgress:
		r.awaitProgress(action.Delay)
	case stream.ActionObserve:
		r.observe(action)
	case stream.ActionFinish:
		r.finish(chicoryhall.Result{Outcome: action.Outcome, Reason: reasonText(action.Reason), RetryAfter: action.RetryAfter})
	}
}

func reasonText(reason stream.Reason) string {
	if reason == stream.ReasonNone {
		return ""
	}
	return reason.String()
}

func (r *Request) routeQuery(exclude []chicoryhall.EndpointID, cachedHops []chicoryhall.Hop, attempt int) chicoryhall.RouteQuery {
	done := len(r.machine.Tokens())
	return chicoryhall.RouteQuery{
		Document: r.document, FailureDomain: r.config().FailureDomain,
		Positions: len(r.prompt) + done, RemainingTokens: r.record.MaxTokens - done,
		Exclude: exclude, CachedHops: cachedHops, LastAttempt: attempt, Now: r.config().Timer.Now(),
	}
}

// postInput gives an input to the machine, at once or, if a message of the request is being handled,
// after it.
func (r *Request) postInput(in stream.Input) {
	r.post(message{input: &in})
}

func (r *Request) raiseAttempt(attempt int) {
	r.record.Attempt = attempt
	r.service.background.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), raiseAttemptTimeout)
		defer cancel()
		err := r.config().Replicator.RaiseAttempt(ctx, r.record.ID, attempt)
		kind := stream.InputAttemptRaised
		if errors.Is(err, chicoryhall.ErrTakenOver) {
			kind = stream.InputTakenOver
		}
		r.postInput(stream.Input{Kind: kind, Attempt: attempt})
		return nil
	})
}

func (r *Request) openAttempt(action stream.Action) {
	r.endInFlight()
	r.inFlightHops = action.Route.Hops
	r.tokensAtOpen = len(r.machine.Tokens())
	for _, hop := range r.inFlightHops {
		r.config().Endpoints.Begin(hop.Engine)
	}
	r.config().Metrics.attempts(r.record.Service).Inc()
	first := action.Route.Hops[0]
	handler := &attemptHandler{request: r, attempt: action.Attempt, sending: &sendPermit{}}
	r.sending, r.sendingAttempt = handler.sending, action.Attempt
	r.currentAttempt = r.config().Engines.OpenAttempt(first.Address, r.streamRequest(action), action.NewConnection, handler)
}

// endInFlight ends the counting of the open attempt at its endpoints.
func (r *Request) endInFlight() {
	for _, hop := range r.inFlightHops {
		r.config().Endpoints.End(hop.Engine)
	}
	r.inFlightHops = nil
}

// abandonAttempt closes the attempt's connection and cancels the attempt at the engines that are
// not to keep its KV.
func (r *Request) abandonAttempt(action *stream.Action) {
	if r.sending != nil { // Held by step.
		r.sending.revoked = true
		r.sending = nil
	}
	if r.currentAttempt != nil {
		r.currentAttempt.Abandon()
		r.currentAttempt = nil
	}
	for _, hop := range r.inFlightHops {
		if !containsEngine(action.CachedHops, hop.Engine) {
			r.config().Engines.CancelAttempt(hop.Address, r.record.ID, action.Attempt)
		}
	}
	r.endInFlight()
}

func containsEngine(hops []chicoryhall.Hop, id chicoryhall.EndpointID) bool {
	for _, hop := range hops {
		if hop.Engine == id {
			return true
		}
	}
	return false
}

func (r *Request) replicate(action *stream.Action) {
	end := action.Position + len(action.Tokens)
	r.config().Replicator.AppendTokens(r.record.ID, action.Position, action.Tokens, func(err error) {
		if err != nil {
			r.postInput(stream.Input{Kind: stream.InputTakenOver})
			return
		}
		r.postInput(stream.Input{Kind: stream.InputTokensReleased, Position: end})
	})
}

func (r *Request) deliver(action *stream.Action) {
	r.measureTokens(len(action.Tokens))
	for _, f := range r.followers {
		f.send(action.Position, action.Tokens)
	}
}

func (r *Request) awaitProgress(delay time.Duration) {
	if r.progressTimer != nil {
		r.progressTimer.Cancel()
	}
	r.progressTimer = r.config().Timer.After(delay, func(time.Time) {
		r.postInput(stream.Input{Kind: stream.InputProgressDue})
	})
}

// observe reports what the machine observed about an endpoint.
func (r *Request) observe(action *stream.Action) {
	r.config().Endpoints.Observe(action.Engine, action.Observation)
	if action.Observation == chicoryhall.ObservedLeaving {
		return
	}
	r.config().Log.Log(event.EndpointFailed, "request", r.record.ID, "endpoint", action.Engine, "observed", action.Observation)
	if action.Observation == chicoryhall.ObservedBrokenConnection {
		r.reportCrash(action.Engine)
	}
}

// attemptHandler passes the calls of the engine client on to the request.
type attemptHandler struct {
	request *Request
	attempt int
	sending *sendPermit
}

// OnSending reports whether the attempt may be sent. The machine learns of it with its next input.
func (h *attemptHandler) OnSending() bool { return h.sending.take() }

// OnEvents passes the events on.
func (h *attemptHandler) OnEvents(events []engine.Event) {
	h.request.post(message{attempt: h.attempt, events: events})
}

// OnFailure passes the end of the connection on.
func (h *attemptHandler) OnFailure(failure *engine.Error) {
	h.request.config().Log.Log(event.AttemptFailed, "request", h.request.record.ID, "attempt", h.attempt, "error", failure)
	if failure.Sent() && failure.Kind() == engine.FailureBroken {
		h.request.post(message{run: func() { h.request.onFirstStageBroken(h.attempt) }})
	}
	h.request.postInput(stream.Input{Kind: stream.InputConnectionFailed, Attempt: h.attempt, Failure: failure.Kind(), Sent: failure.Sent()})
}
