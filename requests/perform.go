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
	// raiseTimeout bounds the wait for the second holder to know of a raised attempt.
	raiseTimeout = time.Second
)

// step gives one input to the machine and carries its actions out.
func (r *Request) step(in stream.Input) {
	r.perform(r.machine.Step(r.parts().Timer.Now(), in))
}

func (r *Request) stepEvents(attempt int, events []engine.Event) {
	now := r.parts().Timer.Now()
	r.perform(r.machine.StepEvents(now, attempt, events))
	r.probationStep()
}

func (r *Request) perform(actions []stream.Action) {
	for i := range actions {
		r.performOne(&actions[i])
	}
}

func (r *Request) performOne(action *stream.Action) {
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

func (r *Request) routeQuery(exclude []chicoryhall.EndpointID, keep []chicoryhall.Hop, attempt int) chicoryhall.RouteQuery {
	done := len(r.machine.Tokens())
	return chicoryhall.RouteQuery{
		Document: r.document, FailureDomain: r.parts().FailureDomain,
		Positions: len(r.prompt) + done, RemainingTokens: r.record.MaxTokens - done,
		Exclude: exclude, CachedHops: keep, LastAttempt: attempt, Now: r.parts().Timer.Now(),
	}
}

// answer brings an input to the machine after the step in progress.
func (r *Request) answer(in stream.Input) {
	r.post(message{input: &in})
}

func (r *Request) raiseAttempt(attempt int) {
	r.record.Attempt = attempt
	r.service.work.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), raiseTimeout)
		defer cancel()
		err := r.parts().Replicator.RaiseAttempt(ctx, r.record.ID, attempt)
		kind := stream.InputAttemptRaised
		if errors.Is(err, chicoryhall.ErrReplaced) {
			kind = stream.InputReplaced
		}
		r.answer(stream.Input{Kind: kind, Attempt: attempt})
		return nil
	})
}

func (r *Request) openAttempt(action stream.Action) {
	r.leaveEndpoints()
	r.counted = action.Route.Hops
	r.openedWith = len(r.machine.Tokens())
	for _, hop := range r.counted {
		r.parts().Endpoints.Begin(hop.Engine)
	}
	r.parts().Metrics.attempts(r.record.Service).Inc()
	first := action.Route.Hops[0]
	handler := &attemptHandler{request: r, attempt: action.Attempt}
	r.current = r.parts().Engines.OpenStream(first.Address, r.engineStart(action), action.NewConnection, handler)
}

// leaveEndpoints undoes the count of the open attempt.
func (r *Request) leaveEndpoints() {
	for _, hop := range r.counted {
		r.parts().Endpoints.End(hop.Engine)
	}
	r.counted = nil
}

// abandonAttempt closes the attempt's connection and frees the engines that are not kept.
func (r *Request) abandonAttempt(action *stream.Action) {
	if r.current != nil {
		r.current.Abandon()
		r.current = nil
	}
	for _, hop := range r.counted {
		if !keeps(action.CachedHops, hop.Engine) {
			r.parts().Engines.CancelStream(hop.Address, r.record.ID, action.Attempt)
		}
	}
	r.leaveEndpoints()
}

func keeps(kept []chicoryhall.Hop, id chicoryhall.EndpointID) bool {
	for _, hop := range kept {
		if hop.Engine == id {
			return true
		}
	}
	return false
}

func (r *Request) replicate(action *stream.Action) {
	end := action.Position + len(action.Tokens)
	r.parts().Replicator.AppendTokens(r.record.ID, action.Position, action.Tokens, func(err error) {
		if err != nil {
			r.answer(stream.Input{Kind: stream.InputReplaced})
			return
		}
		r.answer(stream.Input{Kind: stream.InputTokensReleased, Position: end})
	})
}

func (r *Request) deliver(action *stream.Action) {
	r.measureTokens(len(action.Tokens))
	for _, f := range r.followers {
		f.tell(action.Position, action.Tokens)
	}
}

func (r *Request) awaitProgress(delay time.Duration) {
	if r.progress != nil {
		r.progress.Cancel()
	}
	r.progress = r.parts().Timer.After(delay, func(time.Time) {
		r.answer(stream.Input{Kind: stream.InputProgressDue})
	})
}

// observe reports what the traffic showed of an endpoint.
func (r *Request) observe(action *stream.Action) {
	r.parts().Endpoints.Observe(action.Engine, action.Observation)
	if action.Observation == chicoryhall.ObservedLeaving {
		return
	}
	r.parts().Log.Log(event.EndpointFailed, "request", r.record.ID, "endpoint", action.Engine, "observed", action.Observation)
	if action.Observation == chicoryhall.ObservedBrokenConnection {
		r.crashed(action.Engine)
	}
}

// attemptHandler hands the engine client's calls on to the request.
type attemptHandler struct {
	request *Request
	attempt int
}

// OnSending notes that a byte goes out.
func (h *attemptHandler) OnSending() {
	h.request.answer(stream.Input{Kind: stream.InputSending, Attempt: h.attempt})
}

// OnEvents hands events on.
func (h *attemptHandler) OnEvents(events []engine.Event) {
	h.request.post(message{attempt: h.attempt, events: events})
}

// OnFailure hands the end of the connection on.
func (h *attemptHandler) OnFailure(failure *engine.Error) {
	h.request.parts().Log.Log(event.AttemptFailed, "request", h.request.record.ID, "attempt", h.attempt, "error", failure)
	if failure.Sent() && failure.Kind() == engine.FailureBroken {
		h.request.post(message{call: func() { h.request.firstStageBroke(h.attempt) }})
	}
	h.request.answer(stream.Input{Kind: stream.InputConnectionFailed, Attempt: h.attempt, Failure: failure.Kind(), Sent: failure.Sent()})
}
