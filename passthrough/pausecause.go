package passthrough

import (
	"time"

	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/exchange"
	"chicoryhall.example/chicoryhall/stall"
)

// The phases of an answer in which its caller may have to wait.
const (
	phaseFirst = "first"
	phaseGap   = "gap"
)

// pauseRecord records the pauses of an answer that were longer than the targets, with their causes.
type pauseRecord struct {
	// current is what became of a stall in the pause that is in progress.
	current stall.Outcome
	// count is the number of pauses, longest the longest one with its cause and phase.
	count   int
	longest time.Duration
	cause   stall.Outcome
	phase   string
	// denied is the last reason why no further attempt was made, counted which of them have been counted.
	denied  stall.Outcome
	counted map[stall.Outcome]bool
}

// note records what became of an attempt that has stalled or failed. A hedge started in a pause is its cause, whatever
// follows.
func (x *callerExchange) note(outcome stall.Outcome) {
	p := &x.pauses
	if p.current != stall.OutcomeHedge {
		p.current = outcome
	}
	if outcome == stall.OutcomeNone || outcome == stall.OutcomeHedge {
		return
	}
	p.denied = outcome
	if !p.counted[outcome] {
		if p.counted == nil {
			p.counted = make(map[stall.Outcome]bool)
		}
		p.counted[outcome] = true
		x.config().Metrics.attemptDenied(outcome)
	}
}

// endPause records a pause that ends now, if it is longer than the target.
func (x *callerExchange) endPause(now time.Time) {
	since, target, phase := x.lastPieceAt, x.rule.TargetGap, phaseGap
	if since.IsZero() {
		since, target, phase = x.startedAt, x.rule.TargetLatency, phaseFirst
	}
	cause := x.pauses.current
	x.pauses.current = stall.OutcomeNone
	pause := now.Sub(since)
	if target <= 0 || pause <= target {
		return
	}
	x.pauses.count++
	x.config().Metrics.pauseSeen(phase, cause)
	if pause > x.pauses.longest {
		x.pauses.longest, x.pauses.cause, x.pauses.phase = pause, cause, phase
	}
}

// endLastPause records the pause in which an answer has ended without being complete.
func (x *callerExchange) endLastPause(kind *event.Event) {
	if x.attempts > 0 && (kind == event.ExchangeFailed || kind == event.ExchangeCutOff || kind == event.ExchangeAbandoned) {
		x.endPause(x.config().Timer.Now())
	}
}

// logFields returns the fields of the line at the end of a request.
func (p *pauseRecord) logFields() []any {
	if p.count == 0 && p.denied == stall.OutcomeNone {
		return nil
	}
	return []any{"pauses", p.count, "pausePhase", p.phase, "pauseCause", p.causeText(), "denied", p.denied}
}

// causeText returns the cause of the longest pause; without a stall, the endpoints were slow.
func (p *pauseRecord) causeText() string {
	return pauseCauseText(p.count > 0, p.cause)
}

func pauseCauseText(paused bool, cause stall.Outcome) string {
	switch {
	case !paused:
		return ""
	case cause == stall.OutcomeNone:
		return "slow"
	default:
		return cause.String()
	}
}

// denialOf returns why no further attempt follows a failed one.
func (x *callerExchange) denialOf(a *attempt, failure exchange.Failure, retryRefused bool) stall.Outcome {
	switch {
	case retryRefused:
		return stall.OutcomeNoRetry
	case failure == exchange.FailureLost && a.isTrial():
		return stall.OutcomeSuspectedContent
	case !x.config().Timer.Now().Before(x.deadline):
		return stall.OutcomeNoTime
	default:
		return stall.OutcomeNotAllowed
	}
}
