package stream

import (
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
)

// connectionFailed handles the end of the connection to the first engine.
func (m *Machine) connectionFailed(now time.Time, in Input) {
	if m.phase != phaseRunning || in.Attempt != m.attempt {
		return
	}
	if !in.Sent {
		m.reached = false
	}
	first := m.first()
	switch in.Failure {
	case engine.FailureRefused:
		m.observe(first.Engine, chicoryhall.ObservedRefusedConnection)
		m.recover(now, first.Engine, ReasonEndpointFailed)
	case engine.FailureUnreachable:
		m.observe(first.Engine, chicoryhall.ObservedSilence)
		m.recover(now, first.Engine, ReasonEndpointSilent)
	case engine.FailureBroken, engine.FailureSilent:
		// The connection may have been cut between the two ends: redial before blame.
		m.opened = false
		m.probe(first, ReasonEndpointFailed)
	case engine.FailureStatus, engine.FailureMalformed, engine.FailureClosed:
		m.recover(now, first.Engine, ReasonEndpointFailed)
	}
}

// refused handles an attempt that the first engine did not start.
func (m *Machine) refused(now time.Time, event engine.Event) {
	m.reached = false
	m.opened = false
	m.refusal(now, m.first().Engine, event.Refusal)
}

// stageFailed handles an attempt that ended because another engine failed or refused.
func (m *Machine) stageFailed(now time.Time, event engine.Event) {
	m.opened = false
	failed := event.Engine
	if _, found := m.hop(failed); !found {
		failed = m.first().Engine
	}
	m.refusal(now, failed, event.Refusal)
}

func (m *Machine) refusal(now time.Time, by chicoryhall.EndpointID, refusal engine.Refusal) {
	switch refusal {
	case engine.RefusalOldAttempt:
		m.replaced()
	case engine.RefusalWrongPosition:
		// The engine lives but its KV does not fit: use it again without keeping the KV.
		if hop, found := m.hop(by); found && hop.ReuseKV {
			m.dropped = append(m.dropped, by)
			m.replaceAttempt(now, ReasonEndpointRefused)
			return
		}
		m.recover(now, by, ReasonEndpointRefused)
	case engine.RefusalLeaving:
		m.observe(by, chicoryhall.ObservedLeaving)
		m.recover(now, by, ReasonEndpointRefused)
	case engine.RefusalNone, engine.RefusalUnreachable:
		m.observe(by, chicoryhall.ObservedBrokenConnection)
		m.recover(now, by, ReasonEndpointFailed)
	case engine.RefusalNotLoaded, engine.RefusalFull, engine.RefusalOutdatedFence, engine.RefusalMalformed:
		m.recover(now, by, ReasonEndpointRefused)
	}
}

// protocolBroken handles an attempt whose events do not follow one another.
func (m *Machine) protocolBroken(now time.Time) {
	m.recover(now, m.first().Engine, ReasonEndpointFailed)
}

// waiting remembers the engine that the first one waits for.
func (m *Machine) waiting(now time.Time, event engine.Event) {
	hop, found := m.hop(event.Engine)
	if !found {
		return
	}
	m.stalled = event.Engine
	waited := time.Duration(event.WaitedMillis) * time.Millisecond
	if waited >= m.allowance() && now.Sub(m.progress) >= m.allowance() && m.probing == "" {
		m.probe(hop, ReasonEndpointSilent)
	}
}

// progressDue probes the engine that stalls when nothing has progressed in time.
func (m *Machine) progressDue(now time.Time) {
	if m.phase != phaseRunning {
		return
	}
	left := m.allowance() - now.Sub(m.progress)
	if left > 0 || m.probing != "" {
		m.do(Action{Kind: ActionAwaitProgress, Attempt: m.attempt, Delay: max(left, minSilence)})
		return
	}
	m.do(Action{Kind: ActionAwaitProgress, Attempt: m.attempt, Delay: m.allowance()})
	suspect := m.first()
	if hop, found := m.hop(m.stalled); found {
		suspect = hop
	}
	m.probe(suspect, ReasonEndpointSilent)
}

// endpointState probes a stage that is believed dead or suspect.
func (m *Machine) endpointState(in Input) {
	bad := in.State == chicoryhall.EndpointDead || in.State == chicoryhall.EndpointSuspect
	hop, found := m.hop(in.Engine)
	if m.phase != phaseRunning || !bad || !found || m.probing != "" {
		return
	}
	m.probe(hop, ReasonEndpointSilent)
}

func (m *Machine) probe(hop chicoryhall.Hop, cause Reason) {
	m.probing = hop.Engine
	m.cause = cause
	m.do(Action{Kind: ActionProbe, Attempt: m.attempt, Engine: hop.Engine, Address: hop.Address})
}

// probed blames an engine that does not answer a new connection either.
func (m *Machine) probed(now time.Time, in Input) {
	if m.phase != phaseRunning || in.Attempt != m.attempt || in.Engine != m.probing {
		return
	}
	m.probing = ""
	if !in.Alive {
		m.observe(in.Engine, chicoryhall.ObservedSilence)
		m.recover(now, in.Engine, m.cause)
		return
	}
	if m.opened && now.Sub(m.progress) < m.allowance() {
		return
	}
	m.silent++
	m.doublings++
	if m.silent > maxSilentRounds {
		m.recover(now, in.Engine, m.cause)
		return
	}
	// The engine answers: only the connection is lost. Go on over a new one.
	m.fresh = true
	m.replaceAttempt(now, m.cause)
}

// recover replaces the current attempt by one without the failed engine.
func (m *Machine) recover(now time.Time, failed chicoryhall.EndpointID, reason Reason) {
	if hop, found := m.hop(failed); found && m.met.count(hop) >= m.config.MaxEndpoints {
		m.exclude = append(m.exclude, failed)
		m.giveUp(reasonOr(reason, ReasonEndpointLimit), retryAfterFailure)
		return
	}
	m.silent = 0
	if !slices.Contains(m.exclude, failed) {
		m.exclude = append(m.exclude, failed)
	}
	m.replaceAttempt(now, reason)
}

// replaceAttempt ends the current attempt and asks for the next route.
func (m *Machine) replaceAttempt(_ time.Time, reason Reason) {
	if m.reached {
		m.mayHaveRun = true
	}
	if m.mayHaveRun && !m.config.Idempotent {
		m.giveUp(reasonOr(reason, ReasonNotIdempotent), 0)
		return
	}
	if m.attempt-m.config.LastAttempt >= maxAttempts {
		m.giveUp(reasonOr(reason, ReasonEndpointLimit), retryAfterFailure)
		return
	}
	keep := m.surviving()
	if m.opened {
		m.do(Action{Kind: ActionAbandonAttempt, Attempt: m.attempt, CachedHops: keep})
	}
	m.opened, m.reached = false, false
	m.probing, m.stalled = "", ""
	m.dropped = m.dropped[:0]
	m.chooseRoute(reason, keep)
}

// surviving are the stages of the current attempt that hold KV and are not blamed.
func (m *Machine) surviving() []chicoryhall.Hop {
	if !m.prefilled {
		return nil
	}
	var keep []chicoryhall.Hop
	for _, hop := range m.route.Hops {
		if slices.Contains(m.exclude, hop.Engine) || slices.Contains(m.dropped, hop.Engine) {
			continue
		}
		hop.ReuseKV, hop.ImportFrom, hop.ImportAttempt = true, "", m.attempt
		keep = append(keep, hop)
	}
	return keep
}

func (m *Machine) observe(id chicoryhall.EndpointID, observed chicoryhall.Observation) {
	m.do(Action{Kind: ActionObserve, Engine: id, Observation: observed})
}

func (m *Machine) first() chicoryhall.Hop {
	if len(m.route.Hops) == 0 {
		return chicoryhall.Hop{}
	}
	return m.route.Hops[0]
}

func (m *Machine) hop(id chicoryhall.EndpointID) (chicoryhall.Hop, bool) {
	for _, hop := range m.route.Hops {
		if hop.Engine == id && id != "" {
			return hop, true
		}
	}
	return chicoryhall.Hop{}, false
}

// reasonOr prefers the reason of the failure over the rule that forbids another attempt.
func reasonOr(failure, rule Reason) Reason {
	if failure == ReasonNone {
		return rule
	}
	return failure
}
