package stream

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/engine"
)

// Limits of attempts and of the silence. The silence is the time without progress; once it exceeds
// the allowed silence, a stage is probed. EventWaiting is no progress, so it does not end a silence.
const (
	// The allowed silence is firstTokenFactor times the expected time to the first token, and
	// laterTokenFactor times the expected time between later tokens.
	firstTokenFactor = 4
	laterTokenFactor = 8
	// minSilence is the shortest allowed silence.
	minSilence = 200 * time.Millisecond
	// maxSilence limits the allowed silence between tokens before it is doubled. The allowed silence
	// before the first token has no such limit.
	maxSilence = 2 * time.Second
	// maxFinalSilence is the silence after which an attempt ends that no other one may replace.
	maxFinalSilence = 4 * time.Second
	// maxSilentRounds is how many silent rounds (see Machine.silentRounds) are allowed without
	// replacing an engine. After one more, the engine that was probed last is replaced.
	maxSilentRounds = 2
	// maxDoublings limits how often the allowed silence is doubled.
	maxDoublings = 4
	// maxAttempts limits the attempts that one daemon starts for a request, including those with
	// the same engines.
	maxAttempts = 16
	// retryAfterFailure is the time that a caller should wait before it repeats a request that
	// failed.
	retryAfterFailure = time.Second
)

// Config describes a request.
type Config struct {
	// MaxTokens is the number of tokens of the answer; an answer that ends earlier is a failure.
	MaxTokens int
	// Idempotent means that the request may run more than once.
	Idempotent bool
	// MaxEndpoints is the largest number of engines that may be tried for one layer of the model.
	MaxEndpoints int
	// LastAttempt is the number of the latest attempt that another daemon has started, or 0.
	LastAttempt int
	// KnownTokens are the tokens of the answer that another daemon had before this one took over
	// the request. The caller may have some of them. They are delivered again, without a further
	// release.
	KnownTokens []digest.Token
}

// phase is the state of the Machine.
type phase int

const (
	phaseIdle      phase = iota // InputBegin is awaited
	phaseRouting                // a route is awaited
	phaseRaising                // the result of ActionRaiseAttempt is awaited
	phaseRunning                // the current attempt runs
	phaseReleasing              // the answer is complete; its last tokens must be released
	phaseFinished
)

// Machine is the state machine of one request. It is not safe for concurrent use.
type Machine struct {
	config  Config
	phase   phase
	actions []Action

	attempt int
	// replicatedAttempt is the latest attempt that could begin after its number was replicated. No
	// decision depends on it.
	replicatedAttempt int
	route             chicoryhall.Route
	// newConnection means that the next attempt must use a new connection.
	newConnection bool
	// prefilled means that all stages of the current attempt have built their KV.
	prefilled bool
	// opened means that the current attempt was opened and has not ended.
	opened bool
	// sent means that a byte of the current attempt may have been sent.
	sent bool
	// mayHaveRun means that an earlier attempt may have run at an endpoint.
	mayHaveRun bool

	// tokens is the answer so far; released is the number of them that may be sent to the caller,
	// delivered the number that were sent.
	tokens    []digest.Token
	released  int
	delivered int

	// excluded are engines that further attempts must not use.
	excluded []chicoryhall.EndpointID
	// silent are those of excluded that did not answer a probe and are not known to have failed otherwise.
	silent []chicoryhall.EndpointID
	// kvMismatched are engines of the current attempt that are used again, but not their KV.
	kvMismatched []chicoryhall.EndpointID
	tried        triedEngines

	// lastProgress is when the current attempt began or last made progress.
	lastProgress time.Time
	// probing is the engine that is being probed, or empty.
	probing chicoryhall.EndpointID
	// probeCause is the reason to give if the probe fails.
	probeCause Reason
	// awaited is the engine that the first engine says it is waiting for, or empty.
	awaited chicoryhall.EndpointID
	// silentRounds counts the probes that an engine answered although the attempt made no progress
	// or had lost its connection. It is one count for all engines of the route, and begins again with
	// each token and each replacement of an engine, so that the new engine is not blamed for the old
	// one's silence. doublings counts the same probes since the last token only, because a
	// replacement does not make the other engines faster.
	silentRounds int
	doublings    int
}

// New returns the Machine of a request that has not begun.
func New(config Config) *Machine {
	tokens := append([]digest.Token(nil), config.KnownTokens...)
	return &Machine{
		config: config, attempt: config.LastAttempt, replicatedAttempt: config.LastAttempt,
		tokens: tokens, released: len(tokens), mayHaveRun: config.LastAttempt > 0,
	}
}

// Attempt returns the number of the current attempt.
func (m *Machine) Attempt() int { return m.attempt }

// Tokens returns the tokens of the answer received so far.
func (m *Machine) Tokens() []digest.Token { return m.tokens }

// Delivered returns the number of tokens delivered to the caller.
func (m *Machine) Delivered() int { return m.delivered }

// Route returns the route of the current attempt.
func (m *Machine) Route() chicoryhall.Route { return m.route }

// Finished reports whether the request has ended.
func (m *Machine) Finished() bool { return m.phase == phaseFinished }

// Step handles one input. The returned actions are valid until the next call of Step or StepEvents.
func (m *Machine) Step(now time.Time, in Input) []Action {
	m.actions = m.actions[:0]
	if m.phase == phaseFinished {
		return nil
	}
	switch in.Kind {
	case InputBegin:
		m.onBegin()
	case InputRouted:
		m.onRouted(now, in.Route)
	case InputUnroutable:
		m.onUnroutable(in)
	case InputAttemptRaised:
		m.onRaised(now, in.Attempt)
	case InputTakenOver:
		m.onTakenOver()
	case InputSending:
		m.onSending(in.Attempt)
	case InputEvent:
		m.onEvent(now, in.Attempt, in.Event)
	case InputConnectionFailed:
		m.onConnectionFailed(now, in)
	case InputProbed:
		m.onProbed(now, in)
	case InputProgressDue:
		m.onProgressDue(now)
	case InputDeadline:
		m.fail(ReasonDeadline, 0)
	case InputCancelled:
		m.fail(ReasonCancelled, 0)
	case InputEndpointState:
		m.onEndpointState(in)
	case InputTokensReleased:
		m.onReleased(in.Position)
	}
	return m.actions
}

// StepEvents handles events of one attempt that arrived together. The returned actions are valid
// until the next call of Step or StepEvents.
func (m *Machine) StepEvents(now time.Time, attempt int, events []engine.Event) []Action {
	m.actions = m.actions[:0]
	for _, event := range events {
		if m.phase == phaseFinished {
			break
		}
		m.onEvent(now, attempt, event)
	}
	return m.actions
}

func (m *Machine) emit(action Action) {
	m.actions = append(m.actions, action)
}

func (m *Machine) onBegin() {
	if m.phase != phaseIdle {
		return
	}
	m.deliver()
	if len(m.tokens) >= m.config.MaxTokens {
		m.awaitLastRelease()
		return
	}
	m.chooseRoute(ReasonNone, nil)
}

// chooseRoute asks for the route of the next attempt. The cause is the reason for which the last
// attempt is replaced, or ReasonNone for the first one.
func (m *Machine) chooseRoute(cause Reason, cachedHops []chicoryhall.Hop) {
	m.phase = phaseRouting
	m.emit(Action{
		Kind: ActionChooseRoute, Attempt: m.attempt, Recovery: cause != ReasonNone, Reason: cause,
		Position: len(m.tokens), Exclude: m.excluded, CachedHops: cachedHops,
	})
}

func (m *Machine) onRouted(now time.Time, route chicoryhall.Route) {
	if m.phase != phaseRouting {
		return
	}
	if m.tried.maxCount(route.Hops) > m.config.MaxEndpoints {
		m.fail(ReasonEndpointLimit, retryAfterFailure)
		return
	}
	m.route = route
	m.attempt++
	m.opened, m.prefilled, m.sent = false, false, false
	m.probing, m.awaited = "", ""
	m.tried.add(route.Hops)
	if m.attempt == 1 {
		m.replicatedAttempt = 1 // It was replicated with the request.
		m.openAttempt(now)
		return
	}
	m.phase = phaseRaising
	m.emit(Action{Kind: ActionRaiseAttempt, Attempt: m.attempt})
}

func (m *Machine) onRaised(now time.Time, attempt int) {
	if m.phase != phaseRaising || attempt != m.attempt {
		return
	}
	m.replicatedAttempt = attempt
	m.openAttempt(now)
}

func (m *Machine) openAttempt(now time.Time) {
	m.phase = phaseRunning
	m.opened = true
	m.lastProgress = now
	m.emit(Action{Kind: ActionOpenAttempt, Attempt: m.attempt, Route: m.route, Tokens: m.tokens, NewConnection: m.newConnection})
	m.newConnection = false
	m.emit(Action{Kind: ActionAwaitProgress, Attempt: m.attempt, Delay: m.silenceAllowance()})
}

func (m *Machine) onUnroutable(in Input) {
	if m.phase != phaseRouting {
		return
	}
	reason := in.Reason
	if reason == ReasonNone {
		reason = ReasonNoRoute
	}
	if reason == ReasonNoRoute && m.readmitSilent() {
		return
	}
	m.fail(reason, max(in.RetryAfter, retryAfterFailure))
}

// silenceAllowance returns how long the current attempt may make no progress. The time doubles with
// each silent round (see silentRounds), up to maxDoublings: under overload all engines are late,
// and replacing one after the other would add to the load.
func (m *Machine) silenceAllowance() time.Duration {
	return m.baseSilenceAllowance() << min(m.doublings, maxDoublings)
}

func (m *Machine) baseSilenceAllowance() time.Duration {
	if !m.prefilled {
		return max(minSilence, firstTokenFactor*m.route.TimeToFirstToken)
	}
	return min(max(minSilence, laterTokenFactor*m.route.TimePerToken), maxSilence)
}
