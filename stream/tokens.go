package stream

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
)

func (m *Machine) sending(attempt int) {
	if attempt == m.attempt && m.opened {
		m.reached = true
	}
}

// event handles what the engine reports of the current attempt.
func (m *Machine) event(now time.Time, attempt int, event engine.Event) {
	if m.phase != phaseRunning || !m.opened || attempt != m.attempt || event.Attempt != m.attempt {
		return
	}
	switch event.Kind {
	case engine.EventToken:
		m.token(now, event)
	case engine.EventPrefilled:
		m.prefilled = true
		m.progressed(now)
	case engine.EventWaiting:
		m.waiting(now, event)
	case engine.EventDone:
		// All tokens are counted on arrival; an answer that ends before them is cut.
		m.protocolBroken(now)
	case engine.EventRefused:
		m.refused(now, event)
	case engine.EventStageFailed:
		m.stageFailed(now, event)
	}
}

// token accepts the next position once and drops the earlier ones.
func (m *Machine) token(now time.Time, event engine.Event) {
	switch {
	case event.Position < len(m.tokens):
		return
	case event.Position > len(m.tokens):
		m.protocolBroken(now)
		return
	}
	m.prefilled = true
	m.progressed(now)
	m.silent, m.doublings = 0, 0
	m.tokens = append(m.tokens, event.Token)
	m.replicate(event.Position)
	if len(m.tokens) == m.config.MaxTokens {
		m.whole()
	}
}

// replicate adds the token to the step's Replicate action.
func (m *Machine) replicate(position int) {
	if last := len(m.actions) - 1; last >= 0 && m.actions[last].Kind == ActionReplicate {
		m.actions[last].Tokens = m.tokens[m.actions[last].Position:]
		return
	}
	m.do(Action{Kind: ActionReplicate, Position: position, Tokens: m.tokens[position:]})
}

// whole waits for the release of the last tokens.
func (m *Machine) whole() {
	m.phase = phaseReleasing
	m.probing = ""
	if m.delivered == len(m.tokens) {
		m.finish(chicoryhall.OutcomeAnswered, ReasonNone, 0)
	}
}

func (m *Machine) onReleased(position int) {
	m.released = max(m.released, min(position, len(m.tokens)))
	m.deliver()
	if m.phase == phaseReleasing && m.delivered == len(m.tokens) {
		m.finish(chicoryhall.OutcomeAnswered, ReasonNone, 0)
	}
}

func (m *Machine) deliver() {
	if m.released <= m.delivered {
		return
	}
	m.do(Action{Kind: ActionDeliver, Position: m.delivered, Tokens: m.tokens[m.delivered:m.released:m.released]})
	m.delivered = m.released
}

func (m *Machine) progressed(now time.Time) {
	m.progress = now
	m.stalled = ""
	m.probing = ""
}

// finish ends the request.
func (m *Machine) finish(outcome chicoryhall.Outcome, reason Reason, retryAfter time.Duration) {
	m.phase = phaseFinished
	m.do(Action{Kind: ActionFinish, Attempt: m.attempt, Outcome: outcome, Reason: reason, RetryAfter: retryAfter})
}

// giveUp ends the request without its whole answer.
func (m *Machine) giveUp(reason Reason, retryAfter time.Duration) {
	if m.opened {
		m.do(Action{Kind: ActionAbandonAttempt, Attempt: m.attempt})
	}
	outcome := chicoryhall.OutcomeNotRun
	if m.mayHaveRun || m.reached || len(m.tokens) > 0 {
		outcome = chicoryhall.OutcomeUnknown
	}
	m.finish(outcome, reason, retryAfter)
}

// replaced ends the request here, as another daemon goes on with it.
func (m *Machine) replaced() {
	if m.opened {
		m.do(Action{Kind: ActionAbandonAttempt, Attempt: m.attempt, CachedHops: m.route.Hops})
	}
	m.finish(chicoryhall.OutcomeUnknown, ReasonReplaced, 0)
}
