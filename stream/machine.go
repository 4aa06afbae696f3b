package stream

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/engine"
)

// The time allowed without progress, before a stage is probed.
const (
	// firstTokenFactor and betweenFactor multiply the route's expectation.
	firstTokenFactor = 4
	betweenFactor    = 8
	// minSilence is the least time allowed without progress.
	minSilence = 200 * time.Millisecond
	// maxSilence is the most time allowed without progress between tokens.
	maxSilence = 2 * time.Second
	// maxSilentRounds is the number of silences of an engine that answers probes before it is replaced.
	maxSilentRounds = 2
	// maxDoublings bounds the growth of the time allowed without progress.
	maxDoublings = 4
	// maxAttempts bounds the attempts that one daemon starts for a request.
	maxAttempts = 16
	// retryAfterFailure is the time to come back after a failure that a repeat may cure.
	retryAfterFailure = time.Second
)

// Config describes one request.
type Config struct {
	// MaxTokens is the length of the whole answer.
	MaxTokens int
	// Idempotent tells that the request may be run again.
	Idempotent bool
	// MaxEndpoints is the most endpoints that the request may meet in one place of its route.
	MaxEndpoints int
	// LastAttempt is the highest attempt that another daemon has started, or 0.
	LastAttempt int
	// Tokens are those that another daemon may have delivered.
	Tokens []digest.Token
}

// phase tells what the machine waits for.
type phase int

const (
	phaseIdle phase = iota
	phaseRouting
	phaseRaising
	phaseRunning
	phaseReleasing
	phaseFinished
)

// Machine is the state machine of one request; it is for one goroutine.
type Machine struct {
	config  Config
	phase   phase
	actions []Action

	attempt int
	// raised is the attempt that the second holder knows of.
	raised int
	route  chicoryhall.Route
	// fresh demands a new connection for the next attempt.
	fresh bool
	// prefilled tells that the stages of the current attempt hold KV.
	prefilled bool
	// opened tells that the current attempt was opened.
	opened bool
	// reached tells that a byte of the current attempt went out.
	reached bool
	// mayHaveRun tells that an earlier attempt may have run at an endpoint.
	mayHaveRun bool

	tokens    []digest.Token
	released  int
	delivered int

	exclude []chicoryhall.EndpointID
	dropped []chicoryhall.EndpointID
	met     places

	progress time.Time
	// probing is the engine whose probe is awaited, or empty.
	probing chicoryhall.EndpointID
	// cause is why it is probed.
	cause Reason
	// stalled is the engine that the first one waits for, or empty.
	stalled chicoryhall.EndpointID
	// silent is the number of silences of the engine in question while it answered probes;
	// doublings counts those of all engines since the last progress.
	silent    int
	doublings int
}

// New returns the machine of a request that has not begun.
func New(config Config) *Machine {
	tokens := append([]digest.Token(nil), config.Tokens...)
	return &Machine{
		config: config, attempt: config.LastAttempt, raised: config.LastAttempt,
		tokens: tokens, released: len(tokens), mayHaveRun: config.LastAttempt > 0,
	}
}

// Attempt returns the number of the current attempt.
func (m *Machine) Attempt() int { return m.attempt }

// Tokens returns the answer so far.
func (m *Machine) Tokens() []digest.Token { return m.tokens }

// Delivered returns the number of tokens that were delivered.
func (m *Machine) Delivered() int { return m.delivered }

// Route returns the route of the current attempt.
func (m *Machine) Route() chicoryhall.Route { return m.route }

// Finished reports whether the request has ended.
func (m *Machine) Finished() bool { return m.phase == phaseFinished }

// Step takes one input; the actions are valid until the next Step.
func (m *Machine) Step(now time.Time, in Input) []Action {
	m.actions = m.actions[:0]
	if m.phase == phaseFinished {
		return nil
	}
	switch in.Kind {
	case InputBegin:
		m.begin()
	case InputRouted:
		m.routed(now, in.Route)
	case InputUnroutable:
		m.unroutable(in)
	case InputAttemptRaised:
		m.onRaised(now, in.Attempt)
	case InputReplaced:
		m.replaced()
	case InputSending:
		m.sending(in.Attempt)
	case InputEvent:
		m.event(now, in.Attempt, in.Event)
	case InputConnectionFailed:
		m.connectionFailed(now, in)
	case InputProbed:
		m.probed(now, in)
	case InputProgressDue:
		m.progressDue(now)
	case InputDeadline:
		m.giveUp(ReasonDeadline, 0)
	case InputCancelled:
		m.giveUp(ReasonCancelled, 0)
	case InputEndpointState:
		m.endpointState(in)
	case InputTokensReleased:
		m.onReleased(in.Position)
	}
	return m.actions
}

// StepEvents takes the events that arrived together in one attempt.
func (m *Machine) StepEvents(now time.Time, attempt int, events []engine.Event) []Action {
	m.actions = m.actions[:0]
	for _, event := range events {
		if m.phase == phaseFinished {
			break
		}
		m.event(now, attempt, event)
	}
	return m.actions
}

func (m *Machine) do(action Action) {
	m.actions = append(m.actions, action)
}

func (m *Machine) begin() {
	if m.phase != phaseIdle {
		return
	}
	m.deliver()
	if len(m.tokens) >= m.config.MaxTokens {
		m.whole()
		return
	}
	m.chooseRoute(ReasonNone, nil)
}

// chooseRoute asks for the route of the next attempt, which replaces a failed one unless cause is
// ReasonNone.
func (m *Machine) chooseRoute(cause Reason, keep []chicoryhall.Hop) {
	m.phase = phaseRouting
	m.do(Action{
		Kind: ActionChooseRoute, Attempt: m.attempt, Recovery: cause != ReasonNone, Reason: cause,
		Position: len(m.tokens), Exclude: m.exclude, CachedHops: keep,
	})
}

func (m *Machine) routed(now time.Time, route chicoryhall.Route) {
	if m.phase != phaseRouting {
		return
	}
	if m.met.most(route.Hops) > m.config.MaxEndpoints {
		m.giveUp(ReasonEndpointLimit, retryAfterFailure)
		return
	}
	m.route = route
	m.attempt++
	m.opened, m.prefilled, m.reached = false, false, false
	m.probing, m.stalled = "", ""
	m.met.add(route.Hops)
	if m.attempt == 1 {
		m.raised = 1
		m.open(now)
		return
	}
	m.phase = phaseRaising
	m.do(Action{Kind: ActionRaiseAttempt, Attempt: m.attempt})
}

func (m *Machine) onRaised(now time.Time, attempt int) {
	if m.phase != phaseRaising || attempt != m.attempt {
		return
	}
	m.raised = attempt
	m.open(now)
}

func (m *Machine) open(now time.Time) {
	m.phase = phaseRunning
	m.opened = true
	m.progress = now
	m.do(Action{Kind: ActionOpenAttempt, Attempt: m.attempt, Route: m.route, Tokens: m.tokens, NewConnection: m.fresh})
	m.fresh = false
	m.do(Action{Kind: ActionAwaitProgress, Attempt: m.attempt, Delay: m.allowance()})
}

func (m *Machine) unroutable(in Input) {
	if m.phase != phaseRouting {
		return
	}
	reason := in.Reason
	if reason == ReasonNone {
		reason = ReasonNoRoute
	}
	m.giveUp(reason, max(in.RetryAfter, retryAfterFailure))
}

// allowance is the time that may pass without progress in the current attempt. It doubles with
// each silence of an engine that lives: under overload all engines are late, and replacing them
// in turn adds to it.
func (m *Machine) allowance() time.Duration {
	return m.expectedSilence() << min(m.doublings, maxDoublings)
}

func (m *Machine) expectedSilence() time.Duration {
	if !m.prefilled {
		return max(minSilence, firstTokenFactor*m.route.TimeToFirstToken)
	}
	return min(max(minSilence, betweenFactor*m.route.TimePerToken), maxSilence)
}
