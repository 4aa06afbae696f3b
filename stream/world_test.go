package stream_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/stream"
)

const (
	maxEndpoints = 3
	answerTokens = 6
)

// world is the driver of a Machine and the engines that it uses. It gives the Machine inputs in any
// order and checks the invariants of package stream.
type world struct {
	t          *rapid.T
	machine    *stream.Machine
	idempotent bool
	maxTokens  int
	now        time.Time

	attempts       []attempt
	raised         int
	routing        bool
	probes         []stream.Action
	released       int
	replicated     int
	delivered      []digest.Token
	finished       *stream.Action
	awaitsProgress bool
	tried          map[int][]chicoryhall.EndpointID
}

// attempt is the world's record of an attempt that the machine opened.
type attempt struct {
	number   int
	route    chicoryhall.Route
	tokens   []digest.Token
	sent     bool
	refused  bool
	produced int
	ended    bool
	// silent means that the attempt brings no more tokens, because the connection was lost without
	// the machine's knowledge. Other events that were sent before may still arrive.
	silent bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, idempotent: rapid.Bool().Draw(t, "idempotent"), maxTokens: answerTokens,
		now: time.Unix(1000, 0), tried: map[int][]chicoryhall.EndpointID{},
	}
	w.machine = stream.New(stream.Config{MaxTokens: w.maxTokens, Idempotent: w.idempotent, MaxEndpoints: maxEndpoints})
	w.step(stream.Input{Kind: stream.InputBegin})
	return w
}

func (w *world) step(in stream.Input) {
	w.check(w.machine.Step(w.now, in))
}

// tokenAt returns the token that an attempt generates at a position.
func tokenAt(attempt, position int) digest.Token {
	return digest.Token(attempt*1000 + position)
}

func (w *world) check(actions []stream.Action) {
	for _, action := range actions {
		if w.finished != nil {
			w.t.Fatalf("%s after the finish", action.Kind)
		}
		w.checkAction(action)
	}
}

func (w *world) checkAction(action stream.Action) {
	switch action.Kind {
	case stream.ActionChooseRoute:
		w.routing = true
	case stream.ActionOpenAttempt:
		w.checkOpened(action)
	case stream.ActionAbandonAttempt:
		w.attempt(action.Attempt).ended = true
	case stream.ActionReplicate:
		if action.Position != w.replicated {
			w.t.Fatalf("position %d is replicated instead of position %d", action.Position, w.replicated)
		}
		w.replicated += len(action.Tokens)
	case stream.ActionDeliver:
		w.checkDelivered(action)
	case stream.ActionProbe:
		w.probes = append(w.probes, action)
	case stream.ActionAwaitProgress:
		w.awaitsProgress = true
	case stream.ActionFinish:
		w.checkFinished(action)
	case stream.ActionRaiseAttempt, stream.ActionObserve:
	}
}

func (w *world) checkOpened(action stream.Action) {
	if action.Attempt > 1 && w.raised != action.Attempt {
		w.t.Fatalf("attempt %d opened while the backup has %d", action.Attempt, w.raised)
	}
	for _, earlier := range w.attempts {
		if earlier.number >= action.Attempt {
			w.t.Fatalf("attempt %d opened after attempt %d", action.Attempt, earlier.number)
		}
		if !earlier.ended {
			w.t.Fatalf("attempt %d opened while attempt %d is open", action.Attempt, earlier.number)
		}
		if !w.idempotent && earlier.sent && !earlier.refused {
			w.t.Fatalf("attempt %d opened though attempt %d may have run", action.Attempt, earlier.number)
		}
	}
	if !slices.Equal(action.Tokens, w.machine.Tokens()) {
		w.t.Fatalf("attempt %d continues after %v, not %v", action.Attempt, action.Tokens, w.machine.Tokens())
	}
	for _, hop := range action.Route.Hops {
		if !slices.Contains(w.tried[hop.From], hop.Engine) {
			w.tried[hop.From] = append(w.tried[hop.From], hop.Engine)
		}
		if len(w.tried[hop.From]) > maxEndpoints {
			w.t.Fatalf("%d engines tried for layer %d", len(w.tried[hop.From]), hop.From)
		}
	}
	w.attempts = append(w.attempts, attempt{
		number: action.Attempt, route: action.Route, tokens: slices.Clone(action.Tokens), produced: len(action.Tokens),
	})
}

func (w *world) checkDelivered(action stream.Action) {
	if action.Position != len(w.delivered) {
		w.t.Fatalf("position %d is delivered instead of position %d", action.Position, len(w.delivered))
	}
	w.delivered = append(w.delivered, action.Tokens...)
	if len(w.delivered) > w.released {
		w.t.Fatalf("%d positions delivered, %d released", len(w.delivered), w.released)
	}
	newest := 0
	for position, token := range w.delivered {
		by := int(token) / 1000
		if int(token)%1000 != position || by < newest {
			w.t.Fatalf("answer with tokens of several attempts out of order: %v", w.delivered)
		}
		newest = by
	}
}

func (w *world) checkFinished(action stream.Action) {
	w.finished = &action
	if action.Outcome == chicoryhall.OutcomeAnswered && len(w.delivered) != w.maxTokens {
		w.t.Fatalf("answered with %d of %d tokens", len(w.delivered), w.maxTokens)
	}
	if action.Outcome != chicoryhall.OutcomeNotRun {
		return
	}
	for _, a := range w.attempts {
		if a.sent && !a.refused {
			w.t.Fatalf("not run, but attempt %d reached an endpoint", a.number)
		}
	}
}

func (w *world) attempt(number int) *attempt {
	for i := range w.attempts {
		if w.attempts[i].number == number {
			return &w.attempts[i]
		}
	}
	w.t.Fatalf("attempt %d was never opened", number)
	return nil
}

// anyAttempt draws one of the attempts, including earlier ones.
func (w *world) anyAttempt() *attempt {
	if len(w.attempts) == 0 {
		w.t.Skip("no attempt")
	}
	return &w.attempts[rapid.IntRange(0, len(w.attempts)-1).Draw(w.t, "attempt")]
}

// drawRoute draws a route with two stages.
func (w *world) drawRoute() chicoryhall.Route {
	route := chicoryhall.Route{TimeToFirstToken: 100 * time.Millisecond, TimePerToken: 10 * time.Millisecond}
	for place, from := range []int{0, 4} {
		name := fmt.Sprintf("e%d-%d", place, rapid.IntRange(0, 4).Draw(w.t, "engine"))
		route.Hops = append(route.Hops, chicoryhall.Hop{
			Engine: chicoryhall.EndpointID(name), Address: name, From: from, To: from + 4,
			ReuseKV: rapid.Bool().Draw(w.t, "keep"),
		})
	}
	return route
}

func (w *world) answerRoute() {
	if !w.routing && rapid.IntRange(0, 19).Draw(w.t, "twice") != 0 {
		w.t.Skip("no route is requested")
	}
	w.routing = false
	route := w.drawRoute()
	if rapid.IntRange(0, 9).Draw(w.t, "unroutable") == 0 {
		w.step(stream.Input{Kind: stream.InputUnroutable})
		return
	}
	w.step(stream.Input{Kind: stream.InputRouted, Route: route})
}

func (w *world) raise() {
	w.raised = max(w.raised, w.machine.Attempt())
	w.step(stream.Input{Kind: stream.InputAttemptRaised, Attempt: w.machine.Attempt()})
}

// raiseLate repeats the result for an earlier attempt.
func (w *world) raiseLate() {
	w.step(stream.Input{Kind: stream.InputAttemptRaised, Attempt: rapid.IntRange(0, w.raised).Draw(w.t, "late")})
}

func (w *world) sending() {
	a := w.anyAttempt()
	if a.ended || a.refused {
		w.t.Skip("the attempt has ended")
	}
	a.sent = true
	w.step(stream.Input{Kind: stream.InputSending, Attempt: a.number})
}

// token sends the next token of an attempt, an earlier one again, or one after a gap.
func (w *world) token() {
	a := w.anyAttempt()
	if !a.sent || a.refused || a.silent {
		w.t.Skip("the attempt does not run")
	}
	position := rapid.IntRange(len(a.tokens), a.produced).Draw(w.t, "position")
	if rapid.IntRange(0, 19).Draw(w.t, "gap") == 0 {
		position++
	}
	if position >= w.maxTokens {
		w.t.Skip("the answer is complete")
	}
	a.produced = max(a.produced, position+1)
	w.event(a, engine.Event{Kind: engine.EventToken, Position: position, Token: tokenAt(a.number, position)})
}

func (w *world) event(a *attempt, event engine.Event) {
	event.Attempt = a.number
	w.check(w.machine.StepEvents(w.now, a.number, []engine.Event{event}))
}

func (w *world) sendOtherEvent() {
	a := w.anyAttempt()
	if !a.sent || a.refused {
		w.t.Skip("the attempt does not run")
	}
	kinds := []engine.EventKind{engine.EventPrefilled, engine.EventWaiting, engine.EventStageFailed, engine.EventDone}
	event := engine.Event{
		Kind:         rapid.SampledFrom(kinds).Draw(w.t, "event"),
		Engine:       a.route.Hops[rapid.IntRange(0, 1).Draw(w.t, "hop")].Engine,
		Refusal:      rapid.SampledFrom(engine.RefusalValues()).Draw(w.t, "refusal"),
		WaitedMillis: int64(rapid.IntRange(0, 3000).Draw(w.t, "waited")),
	}
	if event.Kind == engine.EventStageFailed || event.Kind == engine.EventDone {
		a.ended = true
	}
	w.event(a, event)
}

// refuse makes the first engine refuse the attempt.
func (w *world) refuse() {
	a := w.anyAttempt()
	if !a.sent || a.produced > len(a.tokens) {
		w.t.Skip("the attempt runs")
	}
	a.refused, a.ended = true, true
	w.event(a, engine.Event{Kind: engine.EventRefused, Refusal: rapid.SampledFrom(engine.RefusalValues()).Draw(w.t, "refusal")})
}

func (w *world) fail() {
	a := w.anyAttempt()
	if a.ended {
		w.t.Skip("the attempt has ended")
	}
	a.ended = true
	w.step(stream.Input{
		Kind: stream.InputConnectionFailed, Attempt: a.number, Sent: a.sent,
		Failure: rapid.SampledFrom(engine.FailureKindValues()).Draw(w.t, "failure"),
	})
}

func (w *world) goSilent() {
	w.anyAttempt().silent = true
}

func (w *world) answerProbe() {
	if len(w.probes) == 0 {
		w.t.Skip("nothing is probed")
	}
	probe := w.probes[rapid.IntRange(0, len(w.probes)-1).Draw(w.t, "probe")]
	w.step(stream.Input{
		Kind: stream.InputProbed, Attempt: probe.Attempt, Engine: probe.Engine,
		Alive: rapid.Bool().Draw(w.t, "alive"),
	})
}

func (w *world) release() {
	w.released = rapid.IntRange(w.released, w.replicated).Draw(w.t, "released")
	position := w.released
	if rapid.Bool().Draw(w.t, "late") {
		position = rapid.IntRange(0, w.released).Draw(w.t, "position")
	}
	w.step(stream.Input{Kind: stream.InputTokensReleased, Position: position})
}

func (w *world) endpointState() {
	a := w.anyAttempt()
	w.step(stream.Input{
		Kind: stream.InputEndpointState, Engine: a.route.Hops[rapid.IntRange(0, 1).Draw(w.t, "hop")].Engine,
		State: rapid.SampledFrom(chicoryhall.EndpointStateValues()).Draw(w.t, "state"),
	})
}

func (w *world) finishFromOutside() {
	if rapid.IntRange(0, 9).Draw(w.t, "rare") != 0 {
		w.t.Skip("rarely")
	}
	kinds := []stream.InputKind{stream.InputDeadline, stream.InputCancelled, stream.InputTakenOver}
	w.step(stream.Input{Kind: rapid.SampledFrom(kinds).Draw(w.t, "end")})
}

func (w *world) progressDue() {
	if !w.awaitsProgress {
		w.t.Skip("no progress is awaited")
	}
	w.awaitsProgress = false
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(w.t, "millis")) * time.Millisecond)
	w.step(stream.Input{Kind: stream.InputProgressDue})
}

func (w *world) actions() map[string]func(*rapid.T) {
	do := func(action func()) func(*rapid.T) {
		return func(t *rapid.T) {
			w.t = t
			action()
		}
	}
	return map[string]func(*rapid.T){
		"answerRoute": do(w.answerRoute), "raise": do(w.raise), "raiseLate": do(w.raiseLate), "sending": do(w.sending), "token": do(w.token),
		"sendOtherEvent": do(w.sendOtherEvent), "refuse": do(w.refuse), "fail": do(w.fail), "goSilent": do(w.goSilent), "answerProbe": do(w.answerProbe),
		"release": do(w.release), "endpointState": do(w.endpointState), "finishFromOutside": do(w.finishFromOutside), "progressDue": do(w.progressDue),
	}
}

// fairStep gives the Machine the inputs that come next if nothing fails, except that a route may
// not be found.
func (w *world) fairStep() {
	if w.routing {
		w.answerRoute()
		return
	}
	number := w.machine.Attempt()
	if len(w.attempts) == 0 || w.attempts[len(w.attempts)-1].number != number {
		w.raise()
		return
	}
	if w.released < w.replicated {
		w.released = w.replicated
		w.step(stream.Input{Kind: stream.InputTokensReleased, Position: w.released})
		return
	}
	a := &w.attempts[len(w.attempts)-1]
	if !a.ended && !a.refused && !a.silent && len(w.machine.Tokens()) < w.maxTokens {
		a.sent = true
		w.step(stream.Input{Kind: stream.InputSending, Attempt: number})
		position := len(w.machine.Tokens())
		w.event(a, engine.Event{Kind: engine.EventToken, Position: position, Token: tokenAt(number, position)})
	}
	if len(w.probes) > 0 {
		probe := w.probes[len(w.probes)-1]
		w.probes = w.probes[:len(w.probes)-1]
		w.step(stream.Input{Kind: stream.InputProbed, Attempt: probe.Attempt, Engine: probe.Engine, Alive: true})
	}
	if w.awaitsProgress {
		w.awaitsProgress = false
		w.now = w.now.Add(3 * time.Second)
		w.step(stream.Input{Kind: stream.InputProgressDue})
	}
}
