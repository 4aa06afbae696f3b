package retry

import (
	"fmt"
	"slices"

	"chicoryhall.example/chicoryhall"
)

// Trail is what one request has met so far; it is for one goroutine at a time.
type Trail struct {
	limit int
	// met are the endpoints that this request will not meet again.
	met []met
}

// met is one endpoint that failed while it ran layers [from,to) of the request.
type met struct {
	engine chicoryhall.EngineID
	from   int
	to     int
}

// NewTrail returns the Trail of a request that may meet at most endpoints in one place of its
// route.
func NewTrail(endpoints int) *Trail {
	return &Trail{limit: max(1, endpoints)}
}

// Excluded returns the endpoints that the request shall not meet again.
func (t *Trail) Excluded() []chicoryhall.EngineID {
	excluded := make([]chicoryhall.EngineID, 0, len(t.met))
	for _, m := range t.met {
		excluded = append(excluded, m.engine)
	}
	return excluded
}

// Suspect takes down a stage that failed this request, once.
func (t *Trail) Suspect(stage chicoryhall.Hop) {
	if slices.ContainsFunc(t.met, func(m met) bool { return m.engine == stage.Engine }) {
		return
	}
	t.met = append(t.met, met{engine: stage.Engine, from: stage.From, to: stage.To})
}

// ExhaustedError tells that a place of a request's route has met all endpoints that it may.
type ExhaustedError struct {
	From      int
	To        int
	Endpoints int
}

// Error names the layers and the number of endpoints met.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("retry request: layers [%d,%d) have met %d endpoints, as many as the document allows",
		e.From, e.To, e.Endpoints)
}

// BudgetError tells that the service has no retries left.
type BudgetError struct {
	Service chicoryhall.ServiceName
}

// Error names the service.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("retry request: service %q has spent its retries; they grow with its successes", e.Service)
}

// Next takes down the failed stage and reports whether the request may run again: nil, an
// ExhaustedError or a BudgetError. The budget is spent only when the request may run.
func (t *Trail) Next(service chicoryhall.ServiceName, failed chicoryhall.Hop, budget *Budget) error {
	if err := t.Replace(failed); err != nil {
		return err
	}
	if !budget.Spend() {
		return &BudgetError{Service: service}
	}
	return nil
}

// Replace takes down a stage whose endpoint is lost and reports whether another may take its
// place: nil or an ExhaustedError. It spends no budget: the lost endpoint gets no more work, so
// that running its streams elsewhere cannot feed on itself as retries at live endpoints can.
func (t *Trail) Replace(lost chicoryhall.Hop) error {
	t.Suspect(lost)
	if count := t.metIn(lost); count >= t.limit {
		return &ExhaustedError{From: lost.From, To: lost.To, Endpoints: count}
	}
	return nil
}

// metIn returns the largest number of endpoints met by any one layer of a stage.
func (t *Trail) metIn(stage chicoryhall.Hop) int {
	most := t.metAt(stage.From)
	for _, m := range t.met {
		if stage.From <= m.from && m.from < stage.To {
			most = max(most, t.metAt(m.from))
		}
	}
	return most
}

// metAt returns the number of endpoints met by one layer; plain services have the empty range.
func (t *Trail) metAt(layer int) int {
	count := 0
	for _, m := range t.met {
		if m.from <= layer && layer < max(m.to, m.from+1) {
			count++
		}
	}
	return count
}
