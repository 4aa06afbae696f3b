package stream_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/stream"
)

// TestInvariants drives the machine with inputs that are lost, repeated, late or out of order.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(newWorld(t).actions())
	})
}

// TestEnds checks that a request ends from any state, if its inputs no longer fail or get lost.
func TestEnds(t *testing.T) {
	const enoughSteps = 400
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.t = t
		for range enoughSteps {
			if w.finished != nil {
				return
			}
			w.fairStep()
		}
		t.Fatalf("the request has not ended: attempt %d, %d tokens, %d delivered", w.machine.Attempt(), len(w.machine.Tokens()), len(w.delivered))
	})
}

// TestKeepsSurvivors checks that only a failed stage is replaced and the others reuse their KV.
func TestKeepsSurvivors(t *testing.T) {
	now := time.Unix(1000, 0)
	m := stream.New(stream.Config{MaxTokens: 4, Idempotent: true, MaxEndpoints: 3})
	route := chicoryhall.Route{Hops: []chicoryhall.Hop{
		{Engine: "a", Address: "a", From: 0, To: 4}, {Engine: "b", Address: "b", From: 4, To: 8},
	}}
	m.Step(now, stream.Input{Kind: stream.InputBegin})
	m.Step(now, stream.Input{Kind: stream.InputRouted, Route: route})
	m.Step(now, stream.Input{Kind: stream.InputSending, Attempt: 1})
	m.StepEvents(now, 1, []engine.Event{
		{Kind: engine.EventPrefilled, Attempt: 1},
		{Kind: engine.EventToken, Attempt: 1, Position: 0, Token: 7},
	})
	actions := m.StepEvents(now, 1, []engine.Event{{Kind: engine.EventStageFailed, Attempt: 1, Engine: "b", Refusal: engine.RefusalUnreachable}})
	choose := actions[len(actions)-1]
	must.Eq(t, stream.ActionChooseRoute, choose.Kind)
	must.Eq(t, []chicoryhall.EndpointID{"b"}, choose.Exclude)
	must.Eq(t, []chicoryhall.Hop{{Engine: "a", Address: "a", From: 0, To: 4, ReuseKV: true, ImportAttempt: 1}}, choose.CachedHops)
	must.Eq(t, 1, choose.Position)
}

// TestReplacesStalled checks that an engine which answers probes but sends no tokens is replaced.
func TestReplacesStalled(t *testing.T) {
	const silences = 3 // The engine is replaced after maxSilentRounds (2) and one more.
	now := time.Unix(1000, 0)
	m := stream.New(stream.Config{MaxTokens: 4, Idempotent: true, MaxEndpoints: 3})
	route := chicoryhall.Route{Hops: []chicoryhall.Hop{{Engine: "a", Address: "a", To: 8}}}
	m.Step(now, stream.Input{Kind: stream.InputBegin})
	var choose stream.Action
	for attempt := 1; attempt <= silences; attempt++ {
		must.SliceEmpty(t, choose.Exclude)
		m.Step(now, stream.Input{Kind: stream.InputRouted, Route: route})
		m.Step(now, stream.Input{Kind: stream.InputAttemptRaised, Attempt: attempt})
		now = now.Add(time.Minute)
		m.Step(now, stream.Input{Kind: stream.InputProgressDue})
		actions := m.Step(now, stream.Input{Kind: stream.InputProbed, Attempt: attempt, Engine: "a", Alive: true})
		choose = actions[len(actions)-1]
		must.Eq(t, stream.ActionChooseRoute, choose.Kind)
	}
	must.Eq(t, []chicoryhall.EndpointID{"a"}, choose.Exclude)
}

// TestReplacementResetsSilentRounds lets first one engine and then its replacement make no progress
// although they answer probes, as under overload. It fails if the silent rounds of the first engine
// still count for the second one, so that this is replaced too early.
func TestReplacementResetsSilentRounds(t *testing.T) {
	const silences = 3 // The engine is replaced after maxSilentRounds (2) and one more.
	now := time.Unix(1000, 0)
	m := stream.New(stream.Config{MaxTokens: 4, Idempotent: true, MaxEndpoints: 3})
	m.Step(now, stream.Input{Kind: stream.InputBegin})
	attempt := 0
	var delays []time.Duration
	var excluded []int
	for _, id := range []chicoryhall.EndpointID{"a", "b"} {
		route := chicoryhall.Route{Hops: []chicoryhall.Hop{{Engine: id, Address: string(id), To: 8}}}
		for range silences {
			attempt++
			m.Step(now, stream.Input{Kind: stream.InputRouted, Route: route})
			for _, action := range m.Step(now, stream.Input{Kind: stream.InputAttemptRaised, Attempt: attempt}) {
				if action.Kind == stream.ActionAwaitProgress {
					delays = append(delays, action.Delay)
				}
			}
			now = now.Add(time.Minute)
			m.Step(now, stream.Input{Kind: stream.InputProgressDue})
			actions := m.Step(now, stream.Input{Kind: stream.InputProbed, Attempt: attempt, Engine: id, Alive: true})
			excluded = append(excluded, len(actions[len(actions)-1].Exclude))
		}
	}
	must.Eq(t, []int{0, 0, 1, 1, 1, 2}, excluded)
	must.Eq(t, []time.Duration{1, 2, 4, 8, 8}, inUnitsOfFirst(delays)) // Attempt 1 begins without InputAttemptRaised.
}

func inUnitsOfFirst(delays []time.Duration) []time.Duration {
	units := make([]time.Duration, len(delays))
	for i := range delays {
		units[i] = delays[i] / delays[0]
	}
	return units
}

// TestRedialBeforeReplacement checks that a silent engine is excluded from the next route only if it
// does not answer the probe either, which uses a new connection.
func TestRedialBeforeReplacement(t *testing.T) {
	cases := []struct {
		name    string
		alive   bool
		exclude []chicoryhall.EndpointID
	}{
		{"the engine answers a new connection", true, nil},
		{"the engine answers no connection", false, []chicoryhall.EndpointID{"a"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			m := stream.New(stream.Config{MaxTokens: 4, Idempotent: true, MaxEndpoints: 3})
			m.Step(now, stream.Input{Kind: stream.InputBegin})
			m.Step(now, stream.Input{Kind: stream.InputRouted, Route: chicoryhall.Route{Hops: []chicoryhall.Hop{{Engine: "a", Address: "a", To: 8}}}})
			m.Step(now, stream.Input{Kind: stream.InputSending, Attempt: 1})
			m.StepEvents(now, 1, []engine.Event{{Kind: engine.EventToken, Attempt: 1, Position: 0, Token: 7}})
			now = now.Add(time.Minute)
			actions := m.Step(now, stream.Input{Kind: stream.InputProgressDue})
			must.Eq(t, stream.ActionProbe, actions[len(actions)-1].Kind)
			actions = m.Step(now, stream.Input{Kind: stream.InputProbed, Attempt: 1, Engine: "a", Alive: c.alive})
			choose := actions[len(actions)-1]
			must.Eq(t, stream.ActionChooseRoute, choose.Kind)
			must.Eq(t, c.exclude, choose.Exclude)
		})
	}
}

// TestSilenceDoesNotEndRequest guards against requests that end because their engine was silent for a while, although no
// other attempt is allowed and the engine goes on.
func TestSilenceDoesNotEndRequest(t *testing.T) {
	cases := []struct {
		name   string
		config stream.Config
		alive  bool
		// tokens are those that arrive before the silence.
		tokens int
	}{
		{"may run once, answers the probe", stream.Config{MaxTokens: 2, MaxEndpoints: 3}, true, 1},
		{"may run once, answers the probe, before the first token", stream.Config{MaxTokens: 2, MaxEndpoints: 3}, true, 0},
		{"may run once, does not answer the probe", stream.Config{MaxTokens: 2, MaxEndpoints: 3}, false, 1},
		{"no other engine allowed, does not answer the probe", stream.Config{MaxTokens: 2, Idempotent: true, MaxEndpoints: 1}, false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			m := stream.New(c.config)
			const attempt = 1
			m.Step(now, stream.Input{Kind: stream.InputBegin})
			m.Step(now, stream.Input{Kind: stream.InputRouted, Route: chicoryhall.Route{Hops: []chicoryhall.Hop{{Engine: "a", Address: "a", To: 8}}}})
			m.Step(now, stream.Input{Kind: stream.InputSending, Attempt: attempt})
			token := func(position int) []stream.Action {
				return m.StepEvents(now, attempt, []engine.Event{{Kind: engine.EventToken, Attempt: attempt, Position: position, Token: 7}})
			}
			for position := range c.tokens {
				token(position)
			}
			for _, silence := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond} {
				now = now.Add(silence)
				actions := m.Step(now, stream.Input{Kind: stream.InputProgressDue})
				must.Eq(t, stream.ActionProbe, last(actions).Kind)
				must.Eq(t, stream.ActionAwaitProgress, actions[0].Kind)
				for _, action := range m.Step(now, stream.Input{Kind: stream.InputProbed, Attempt: attempt, Engine: "a", Alive: c.alive}) {
					must.Eq(t, stream.ActionObserve, action.Kind)
				}
			}
			for position := c.tokens; position < 2; position++ {
				must.Eq(t, stream.ActionReplicate, token(position)[0].Kind)
			}
			actions := m.Step(now, stream.Input{Kind: stream.InputTokensReleased, Position: 2})
			must.Eq(t, chicoryhall.OutcomeAnswered, last(actions).Outcome)
		})
	}
}

// TestSilentEngineIsReadmitted guards against requests that end without a route although the engine that was excluded for its
// silence goes on.
func TestSilentEngineIsReadmitted(t *testing.T) {
	now := time.Unix(1000, 0)
	m := stream.New(stream.Config{MaxTokens: 2, Idempotent: true, MaxEndpoints: 3})
	route := chicoryhall.Route{Hops: []chicoryhall.Hop{{Engine: "a", Address: "a", To: 8}}}
	m.Step(now, stream.Input{Kind: stream.InputBegin})
	m.Step(now, stream.Input{Kind: stream.InputRouted, Route: route})
	m.Step(now, stream.Input{Kind: stream.InputSending, Attempt: 1})
	m.StepEvents(now, 1, []engine.Event{{Kind: engine.EventToken, Attempt: 1, Position: 0, Token: 7}})
	now = now.Add(300 * time.Millisecond)
	m.Step(now, stream.Input{Kind: stream.InputProgressDue})
	choose := last(m.Step(now, stream.Input{Kind: stream.InputProbed, Attempt: 1, Engine: "a", Alive: false}))
	must.Eq(t, []chicoryhall.EndpointID{"a"}, choose.Exclude)
	choose = last(m.Step(now, stream.Input{Kind: stream.InputUnroutable, Reason: stream.ReasonNoRoute}))
	must.Eq(t, stream.ActionChooseRoute, choose.Kind)
	must.SliceEmpty(t, choose.Exclude)
	must.True(t, choose.Recovery)
	must.Eq(t, 1, choose.Position)
	must.Eq(t, stream.ActionFinish, last(m.Step(now, stream.Input{Kind: stream.InputUnroutable, Reason: stream.ReasonNoRoute})).Kind)
}

// TestOldProbeIsIgnored checks that the answer to a probe of an earlier attempt is ignored.
func TestOldProbeIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	m := stream.New(stream.Config{MaxTokens: 4, Idempotent: true, MaxEndpoints: 3})
	route := chicoryhall.Route{Hops: []chicoryhall.Hop{{Engine: "a", Address: "a", To: 4}, {Engine: "b", Address: "b", From: 4, To: 8}}}
	other := chicoryhall.Route{Hops: []chicoryhall.Hop{route.Hops[0], {Engine: "c", Address: "c", From: 4, To: 8}}}
	m.Step(now, stream.Input{Kind: stream.InputBegin})
	m.Step(now, stream.Input{Kind: stream.InputRouted, Route: route})
	m.Step(now, stream.Input{Kind: stream.InputSending, Attempt: 1})
	now = now.Add(time.Minute)
	must.Eq(t, stream.ActionProbe, last(m.Step(now, stream.Input{Kind: stream.InputProgressDue})).Kind)
	m.StepEvents(now, 1, []engine.Event{{Kind: engine.EventStageFailed, Attempt: 1, Engine: "b"}})
	m.Step(now, stream.Input{Kind: stream.InputRouted, Route: other})
	m.Step(now, stream.Input{Kind: stream.InputAttemptRaised, Attempt: 2})
	now = now.Add(time.Minute)
	must.Eq(t, stream.ActionProbe, last(m.Step(now, stream.Input{Kind: stream.InputProgressDue})).Kind)
	must.SliceEmpty(t, m.Step(now, stream.Input{Kind: stream.InputProbed, Attempt: 1, Engine: "a", Alive: false}))
}

func last(actions []stream.Action) stream.Action {
	return actions[len(actions)-1]
}
