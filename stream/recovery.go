package stream

import (
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
)

// onConnectionFailed handles the end of the connection to the first engine.
func (m *Machine) onConnectionFailed(now time.Time, in Input) {
	if m.phase != phaseRunning || in.Attempt != m.attempt {
		return
	}
	if !in.Sent {
		m.sent = false
	}
	first := m.firstHop()
	switch in.Failure {
	case engine.FailureRefused:
		m.observe(first.Engine, chicoryhall.ObservedRefusedConnection)
		m.retryWithout(now, first.Engine, ReasonEndpointFailed)
	case engine.FailureUnreachable:
		m.observe(first.Engine, chicoryhall.ObservedSilence)
		m.retryWithout(now, first.Engine, ReasonEndpointSilent)
	case engine.FailureBroken, engine.FailureSilent:
		// The connection may have been cut although the engine is alive; only a probe over a new
		// connection can tell.
		m.opened = false
		m.probe(first, ReasonEndpointFailed)
	case engine.FailureStatus, engine.FailureMalformed, engine.FailureClosed:
		m.retryWithout(now, first.Engine, ReasonEndpointFailed)
	}
}

// onRefused handles an attempt that the first engine refused and did not start.
func (m *Machine) onRefused(now time.Time, event engine.Event) {
	m.sent = false
	m.opened = false
	m.handleEngineFailure(now, m.firstHop().Engine, event.Refusal)
}

// onStageFailed handles an attempt that ended because another engine of the route failed or
// refused.
func (m *Machine) onStageFailed(now time.Time, event engine.Event) {
	m.opened = false
	failed := event.Engine
	if _, found := m.findHop(failed); !found {
		failed = m.firstHop().Engine // It reported an engine that is not in the route.
	}
	m.handleEngineFailure(now, failed, event.Refusal)
}

// handleEngineFailure handles an attempt that ended because the engine with the given id refused it
// or failed; refusal is RefusalNone if it failed without a refusal.
func (m *Machine) handleEngineFailure(now time.Time, id chicoryhall.EndpointID, refusal engine.Refusal) {
	switch refusal {
	case engine.RefusalOldAttempt:
		m.onTakenOver()
	case engine.RefusalWrongPosition:
		// The engine is alive but its KV does not match the attempt: use it again with new KV.
		if hop, found := m.findHop(id); found && hop.ReuseKV {
			m.kvMismatched = append(m.kvMismatched, id)
			m.replaceAttempt(now, ReasonEndpointRefused)
			return
		}
		m.retryWithout(now, id, ReasonEndpointRefused)
	case engine.RefusalLeaving:
		m.observe(id, chicoryhall.ObservedLeaving)
		m.retryWithout(now, id, ReasonEndpointRefused)
	case engine.RefusalNone, engine.RefusalUnreachable:
		m.observe(id, chicoryhall.ObservedBrokenConnection)
		m.retryWithout(now, id, ReasonEndpointFailed)
	case engine.RefusalNotLoaded, engine.RefusalFull, engine.RefusalOutdatedFence, engine.RefusalMalformed:
		m.retryWithout(now, id, ReasonEndpointRefused)
	}
}

// onProtocolViolation handles an attempt with an event that is not allowed at this point.
func (m *Machine) onProtocolViolation(now time.Time) {
	m.retryWithout(now, m.firstHop().Engine, ReasonEndpointFailed)
}

// onWaiting records the engine that the first engine is waiting for, and probes it if the wait is
// too long.
func (m *Machine) onWaiting(now time.Time, event engine.Event) {
	hop, found := m.findHop(event.Engine)
	if !found {
		return
	}
	m.awaited = event.Engine
	waited := time.Duration(event.WaitedMillis) * time.Millisecond
	if waited >= m.silenceAllowance() && now.Sub(m.lastProgress) >= m.silenceAllowance() && m.probing == "" {
		m.probe(hop, ReasonEndpointSilent)
	}
}

// onProgressDue probes the engine that is waited for, or else the first one, if there was no
// progress in time.
func (m *Machine) onProgressDue(now time.Time) {
	if m.phase != phaseRunning {
		return
	}
	left := m.silenceAllowance() - now.Sub(m.lastProgress)
	if left > 0 || m.probing != "" {
		m.emit(Action{Kind: ActionAwaitProgress, Attempt: m.attempt, Delay: max(left, minSilence)})
		return
	}
	m.emit(Action{Kind: ActionAwaitProgress, Attempt: m.attempt, Delay: m.silenceAllowance()})
	stalled := m.firstHop()
	if hop, found := m.findHop(m.awaited); found {
		stalled = hop
	}
	m.probe(stalled, ReasonEndpointSilent)
}

// onEndpointState probes a stage that became dead or suspect.
func (m *Machine) onEndpointState(in Input) {
	down := in.State == chicoryhall.EndpointDead || in.State == chicoryhall.EndpointSuspect
	hop, found := m.findHop(in.Engine)
	if m.phase != phaseRunning || !down || !found || m.probing != "" {
		return
	}
	m.probe(hop, ReasonEndpointSilent)
}

func (m *Machine) probe(hop chicoryhall.Hop, cause Reason) {
	m.probing = hop.Engine
	m.probeCause = cause
	m.emit(Action{Kind: ActionProbe, Attempt: m.attempt, Engine: hop.Engine, Address: hop.Address})
}

// onProbed handles the result of a probe. An engine that did not answer is replaced. If it did
// answer and the current attempt has lost its connection or is still without progress, this is a
// silent round: a new attempt begins over a new connection, or, after maxSilentRounds of these, the
// engine is replaced. Where no other attempt is allowed, the current one goes on for
// maxFinalSilence, as silence does not show that it has failed.
func (m *Machine) onProbed(now time.Time, in Input) {
	if m.phase != phaseRunning || in.Attempt != m.attempt || in.Engine != m.probing {
		return
	}
	m.probing = ""
	if !in.Alive {
		m.observe(in.Engine, chicoryhall.ObservedSilence)
	} else if m.opened && now.Sub(m.lastProgress) < m.silenceAllowance() {
		return
	}
	excludes := !in.Alive || m.silentRounds >= maxSilentRounds
	if m.opened && now.Sub(m.lastProgress) < maxFinalSilence && !m.mayReplace(in.Engine, excludes) {
		m.doublings++
		return
	}
	if !in.Alive {
		m.silent = append(m.silent, in.Engine)
		m.retryWithout(now, in.Engine, m.probeCause)
		return
	}
	m.silentRounds++
	m.doublings++
	if m.silentRounds > maxSilentRounds {
		m.retryWithout(now, in.Engine, m.probeCause)
		return
	}
	// The engine is alive. Its connection may be lost without notice, so the next attempt uses a
	// new one.
	m.newConnection = true
	m.replaceAttempt(now, m.probeCause)
}

// retryWithout replaces the current attempt by one that does not use the given engine, which
// failed, refused or made no progress. If the limits do not allow another attempt, the request
// ends.
func (m *Machine) retryWithout(now time.Time, failed chicoryhall.EndpointID, reason Reason) {
	if hop, found := m.findHop(failed); found && m.tried.count(hop) >= m.config.MaxEndpoints {
		m.excluded = append(m.excluded, failed)
		m.fail(reasonOrLimit(reason, ReasonEndpointLimit), retryAfterFailure)
		return
	}
	m.silentRounds = 0
	if !slices.Contains(m.excluded, failed) {
		m.excluded = append(m.excluded, failed)
	}
	m.replaceAttempt(now, reason)
}

// mayReplace reports whether the limits allow another attempt, one without the given engine if excludes is set.
func (m *Machine) mayReplace(id chicoryhall.EndpointID, excludes bool) bool {
	mayHaveRun := m.sent || m.mayHaveRun
	if mayHaveRun && !m.config.Idempotent || m.attempt-m.config.LastAttempt >= maxAttempts {
		return false
	}
	hop, found := m.findHop(id)
	return !excludes || !found || m.tried.count(hop) < m.config.MaxEndpoints
}

// readmitSilent asks for a route again, which may use the engines that are excluded only because they did not answer a probe:
// they may have gone on since. It returns false if there are none.
func (m *Machine) readmitSilent() bool {
	if len(m.silent) == 0 {
		return false
	}
	cachedHops := m.reusableHops() // Before the silent engines are back, which have dropped their KV.
	m.excluded = slices.DeleteFunc(m.excluded, func(id chicoryhall.EndpointID) bool { return slices.Contains(m.silent, id) })
	m.silent = nil
	m.chooseRoute(ReasonEndpointSilent, cachedHops)
	return true
}

// replaceAttempt ends the current attempt and asks for the route of the next one. If the limits do
// not allow another attempt, the request ends. The time is not used.
func (m *Machine) replaceAttempt(_ time.Time, reason Reason) {
	if m.sent {
		m.mayHaveRun = true
	}
	if m.mayHaveRun && !m.config.Idempotent {
		m.fail(reasonOrLimit(reason, ReasonNotIdempotent), 0)
		return
	}
	if m.attempt-m.config.LastAttempt >= maxAttempts {
		m.fail(reasonOrLimit(reason, ReasonEndpointLimit), retryAfterFailure)
		return
	}
	cachedHops := m.reusableHops()
	if m.opened {
		m.emit(Action{Kind: ActionAbandonAttempt, Attempt: m.attempt, CachedHops: cachedHops})
	}
	m.opened, m.sent = false, false
	m.probing, m.awaited = "", ""
	m.kvMismatched = m.kvMismatched[:0]
	m.chooseRoute(reason, cachedHops)
}

// reusableHops returns the stages of the current attempt that have KV and were not found at fault.
func (m *Machine) reusableHops() []chicoryhall.Hop {
	if !m.prefilled {
		return nil
	}
	var cachedHops []chicoryhall.Hop
	for _, hop := range m.route.Hops {
		if slices.Contains(m.excluded, hop.Engine) || slices.Contains(m.kvMismatched, hop.Engine) {
			continue
		}
		hop.ReuseKV, hop.ImportFrom, hop.ImportAttempt = true, "", m.attempt
		cachedHops = append(cachedHops, hop)
	}
	return cachedHops
}

func (m *Machine) observe(id chicoryhall.EndpointID, observed chicoryhall.Observation) {
	m.emit(Action{Kind: ActionObserve, Engine: id, Observation: observed})
}

func (m *Machine) firstHop() chicoryhall.Hop {
	if len(m.route.Hops) == 0 {
		return chicoryhall.Hop{}
	}
	return m.route.Hops[0]
}

func (m *Machine) findHop(id chicoryhall.EndpointID) (chicoryhall.Hop, bool) {
	for _, hop := range m.route.Hops {
		if hop.Engine == id && id != "" {
			return hop, true
		}
	}
	return chicoryhall.Hop{}, false
}

// reasonOrLimit returns the reason of the failure, which says more than the limit that does not
// allow another attempt. It returns the limit only if the failure has no reason; all present calls
// give one.
func reasonOrLimit(failure, limit Reason) Reason {
	if failure == ReasonNone {
		return limit
	}
	return failure
}
