package stall

import "time"

const (
	// A stream counts as stalled in any case if nothing arrives for silenceFactor times its target latency before its head, or
	// its target gap after it, and for minSilence.
	silenceFactor = 3
	minSilence    = 400 * time.Millisecond

	// MinStall is the shortest silence after which an attempt counts as stalled. Steps of usual engines take up to 60 ms, so a
	// shorter one shows nothing.
	MinStall = 100 * time.Millisecond

	// With an endpoint of its route suspect, an attempt stalls after suspectFactor times its longest pause so far, from
	// minSuspectStall on, but at the
	// latest after suspectShare of its target gap, unless its pauses are longer than that gap anyhow. A resumed stream needs
	// 90 ms (median) to its first event, which the rest of a target gap of 200 ms leaves. With 0.55 instead of 0.5, 15 % of the
	// streams of a crashed engine paused for more than 250 ms in the test with the load.
	minSuspectStall = 70 * time.Millisecond
	suspectFactor   = 1.25
	suspectShare    = 0.5
	// Before the first event, the expected time to it takes the place of the longest pause.
	suspectFirstFactor   = 2.0
	minSuspectFirstShare = 0.3
	maxSuspectFirstShare = 0.6

	// Without such news, an attempt stalls after pauseShare of its target gap, but not before its silence exceeds pauseFactor
	// times its longest pause and the longest one that is usual. pauseShare leaves 90 ms of a target gap of 250 ms.
	pauseFactor = 1.1
	pauseShare  = 0.65
	// Before the first event, it stalls after firstShare of the target latency, but not before firstFactor times the expected
	// time to it: a false hedge costs a whole prompt.
	firstFactor = 4.0
	firstShare  = 0.7

	// Common silence shows a failed endpoint only beyond the pauses that a prompt causes in all streams of an engine.
	commonFactor = 1.25

	// minPauses is the number of pauses of an attempt from which its longest one tells what is usual, if nothing else does.
	minPauses = 20

	// recheckPeriod is the time after which a silent attempt is judged again: other attempts and probes may have shown more.
	recheckPeriod = 50 * time.Millisecond

	// A check that is later than lateGrace says nothing: this process was held up, and what arrived meanwhile may not have been
	// read yet.
	lateGrace = 30 * time.Millisecond
)

// Stream describes an attempt of a stream. The durations of the rule and the route are 0 if they are not known.
type Stream struct {
	// HasHead is set once the head of the answer has arrived, and HasEvents once a piece of its body has.
	HasHead, HasEvents bool
	// TargetLatency and TargetGap are those of the rule.
	TargetLatency, TargetGap time.Duration
	// ExpectedFirst is the expected time to the first event.
	ExpectedFirst time.Duration
	// Longest is the longest of the Pauses so far between two pieces of the answer.
	Longest time.Duration
	Pauses  int
	// Usual is the longest pause that is usual for streams of the service, see UsualPauses, or 0 if that is not known.
	Usual time.Duration
	// Suspect is set while an endpoint of the route is suspect or dead, and CommonHop if FailedHops has returned some.
	Suspect, CommonHop bool
}

// SilenceTime returns the silence after which an attempt counts as stalled in any case.
func (s Stream) SilenceTime() time.Duration {
	if s.HasHead {
		return max(minSilence, silenceFactor*s.TargetGap)
	}
	return max(minSilence, silenceFactor*s.TargetLatency)
}

// Judge returns why an attempt that has been silent for some time counts as stalled, or CauseNone, and the silence at which
// that may change.
func (s Stream) Judge(silent time.Duration) (Cause, time.Duration) {
	suspectAt, commonAt, pauseAt := s.suspectTime(), s.commonTime(), s.pauseTime()
	switch {
	case silent >= s.SilenceTime():
		return CauseSilence, silent
	case s.Suspect && silent >= suspectAt:
		return CauseSuspect, s.SilenceTime()
	case s.CommonHop && s.knowsUsual() && silent >= commonAt:
		return CauseCommonHop, s.SilenceTime()
	case s.knowsUsual() && silent >= pauseAt:
		return CausePause, s.SilenceTime()
	}
	next := max(minSuspectStall, min(s.SilenceTime(), silent+recheckPeriod))
	for _, at := range []time.Duration{suspectAt, commonAt, pauseAt} {
		if at > silent {
			next = min(next, at)
		}
	}
	return CauseNone, next
}

// suspectTime returns the silence after which an attempt stalls while an endpoint of its route is suspect.
func (s Stream) suspectTime() time.Duration {
	if !s.HasEvents {
		at := times(suspectFirstFactor, s.ExpectedFirst)
		return max(MinStall, min(max(at, times(minSuspectFirstShare, s.TargetLatency)), times(maxSuspectFirstShare, s.TargetLatency)))
	}
	at := times(suspectFactor, s.Longest)
	if s.Longest <= s.TargetGap {
		at = min(at, times(suspectShare, s.TargetGap))
	}
	return min(max(minSuspectStall, at), s.SilenceTime())
}

// commonTime returns the silence after which the silence of other attempts counts.
func (s Stream) commonTime() time.Duration {
	return max(MinStall, times(commonFactor, max(s.Longest, s.Usual)))
}

// pauseTime returns the silence after which an attempt stalls because of its length alone.
func (s Stream) pauseTime() time.Duration {
	if !s.HasEvents {
		return max(MinStall, times(firstFactor, s.ExpectedFirst), times(firstShare, s.TargetLatency))
	}
	return max(MinStall, times(pauseFactor, max(s.Longest, s.Usual)), times(pauseShare, s.TargetGap))
}

// knowsUsual reports whether it is known how long the attempt is usually silent.
func (s Stream) knowsUsual() bool {
	if !s.HasEvents {
		return s.ExpectedFirst > 0 && s.TargetLatency > 0
	}
	return s.Usual > 0 || s.Pauses >= minPauses
}

// IsLate reports whether a check came so much later than it was due that the silence shows nothing. It is repeated after
// the returned time.
func IsLate(due, now time.Time) (again time.Duration, late bool) {
	return lateGrace, now.Sub(due) > lateGrace
}

func times(factor float64, d time.Duration) time.Duration { return time.Duration(factor * float64(d)) }
