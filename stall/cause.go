package stall

//go:generate go tool enumer -type=Cause -text -transform=kebab -trimprefix=Cause -output=cause_enumer.go
//go:generate go tool enumer -type=Outcome -text -transform=kebab -trimprefix=Outcome -output=outcome_enumer.go

// Cause is why an attempt counts as stalled. A greater one is stronger evidence than a smaller one.
type Cause int

// The causes.
const (
	// CauseNone means that the attempt does not count as stalled.
	CauseNone Cause = iota
	// CausePause means that the attempt has been silent for longer than is usual.
	CausePause
	// CauseCommonHop means that several attempts through an endpoint have fallen silent while others go on.
	CauseCommonHop
	// CauseSuspect means that an endpoint of the route is suspect or dead.
	CauseSuspect
	// CauseSilence means that the attempt has been silent for several target latencies or gaps.
	CauseSilence
)

// Outcome is what became of a stall: a hedge, or the reason why there is none.
type Outcome int

// The outcomes.
const (
	// OutcomeNone means that the attempt has not stalled. A pause with this outcome is the work of a slow endpoint.
	OutcomeNone Outcome = iota
	// OutcomeHedge means that another attempt was started.
	OutcomeHedge
	// OutcomeNoRetry means that the retry budget was spent.
	OutcomeNoRetry
	// OutcomeReserved means that the retries left are kept for stronger evidence or more urgent requests.
	OutcomeReserved
	// OutcomeNoRoute means that no other endpoints have room.
	OutcomeNoRoute
	// OutcomeNotAllowed means that the request may not run once more: its rule, the number of its attempts or what the caller
	// has got of the answer does not allow it.
	OutcomeNotAllowed
	// OutcomeSuspectedContent means that the request's content is suspected of crashing endpoints.
	OutcomeSuspectedContent
	// OutcomeNoTime means that too little time is left.
	OutcomeNoTime
)
