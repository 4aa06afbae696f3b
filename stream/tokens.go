package stream

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
)

func (m *Machine) onSending(attempt int) {
	if attempt == m.attempt && m.opened {
		m.sent = true
	}
}

// onEvent handles an event. Events of other attempts than the current one are ignored.
func (m *Machine) onEvent(now time.Time, attempt int, event engine.Event) {
	if m.phase != phaseRunning || !m.opened || attempt != m.attempt || event.Attempt != m.attempt {
		return
	}
	switch event.Kind {
	case engine.EventToken:
		m.onToken(now, event)
	case engine.EventPrefilled:
		m.prefilled = true
		m.recordProgress(now)
	case engine.EventWaiting:
		m.onWaiting(now, event)
	case engine.EventDone:
		// After the last token the machine is in phaseReleasing and ignores this event, so an
		// answer that ends here is too short.
		m.onProtocolViolation(now)
	case engine.EventRefused:
		m.onRefused(now, event)
	case engine.EventStageFailed:
		m.onStageFailed(now, event)
	}
}

// onToken accepts the token of the next position. It ignores earlier positions, which an engine may
// send again, and treats a gap as a failure.
func (m *Machine) onToken(now time.Time, event engine.Event) {
	switch {
	case event.Position < len(m.tokens):
		return
	case event.Position > len(m.tokens):
		m.onProtocolViolation(now)
		return
	}
	m.prefilled = true
	m.recordProgress(now)
	m.silentRounds, m.doublings = 0, 0
	m.tokens = append(m.tokens, event.Token)
	m.replicate(event.Position)
	if len(m.tokens) == m.config.MaxTokens {
		m.awaitLastRelease()
	}
}

// replicate adds the token to the ActionReplicate of the current step.
func (m *Machine) replicate(position int) {
	if last := len(m.actions) - 1; last >= 0 && m.actions[last].Kind == ActionReplicate {
		m.actions[last].Tokens = m.tokens[m.actions[last].Position:]
		return
	}
	m.emit(Action{Kind: ActionReplicate, Position: position, Tokens: m.tokens[position:]})
}

// awaitLastRelease waits until all tokens may be sent to the caller.
func (m *Machine) awaitLastRelease() {
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
	m.emit(Action{Kind: ActionDeliver, Position: m.delivered, Tokens: m.tokens[m.delivered:m.released:m.released]})
	m.delivered = m.released
}

func (m *Machine) recordProgress(now time.Time) {
	m.lastProgress = now
	m.awaited = ""
	m.probing = ""
}

func (m *Machine) finish(outcome chicoryhall.Outcome, reason Reason, retryAfter time.Duration) {
	m.phase = phaseFinished
	m.emit(Action{Kind: ActionFinish, Attempt: m.attempt, Outcome: outcome, Reason: reason, RetryAfter: retryAfter})
}

// fail ends the request without a complete answer.
func (m *Machine) fail(reason Reason, retryAfter time.Duration) {
	if m.opened {
		m.emit(Action{Kind: ActionAbandonAttempt, Attempt: m.attempt})
	}
	outcome := chicoryhall.OutcomeNotRun
	if m.mayHaveRun || m.sent || len(m.tokens) > 0 {
		outcome = chicoryhall.OutcomeUnknown
	}
	m.finish(outcome, reason, retryAfter)
}

// onTakenOver ends the request here because another daemon has taken it over.
func (m *Machine) onTakenOver() {
	if m.opened {
		// The engines are not told to cancel: the new owner's attempt ends this one.
		m.emit(Action{Kind: ActionAbandonAttempt, Attempt: m.attempt, CachedHops: m.route.Hops})
	}
	m.finish(chicoryhall.OutcomeUnknown, ReasonTakenOver, 0)
}
