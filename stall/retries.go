package stall

// Shares of the retries that the budget allows which must remain after a hedge. After silenceTime a stall may use all: what
// remains is only kept from hedges that may be false.
const (
	keptByPause   = 0.5
	keptByCommon  = 0.2
	keptBySuspect = 0.1
	// keptForUrgent remains for requests of the most urgent class, where requests differ in priority.
	keptForUrgent = 0.15
)

// Retries are those of the budget of a service in its window.
type Retries struct {
	// Left is the number that may still be spent, and Allowed the number that could be spent in all.
	Left, Allowed float64
}

// MayHedge returns OutcomeHedge if a retry may be spent on a stall with a cause, or why not. isUrgent is set for requests of the most
// urgent class, and if all have the same priority.
func (r Retries) MayHedge(cause Cause, isUrgent bool) Outcome {
	if r.Left < 1 {
		return OutcomeNoRetry
	}
	kept := 0.0
	switch cause {
	case CausePause:
		kept = keptByPause
	case CauseCommonHop:
		kept = keptByCommon
	case CauseSuspect:
		kept = keptBySuspect
	case CauseNone, CauseSilence:
	}
	if !isUrgent {
		kept += keptForUrgent
	}
	if r.Left-1 < kept*r.Allowed {
		return OutcomeReserved
	}
	return OutcomeHedge
}
