package plainservice

import (
	"encoding/json"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/event"
)

// Faults are the faults of a plain service; the zero value has none.
type Faults struct {
	// Slow multiplies the time of each call; 0 is 1.
	Slow float64 `json:"slow,omitempty"`
	// LateMillis delays each answer behind the end of its call.
	LateMillis int64 `json:"lateMillis,omitempty"`
	// LoseAnswers is the number of calls, from the next on, that run and whose answer is lost.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// CrashBody ends the process when a call whose body contains this text begins.
	CrashBody string `json:"crashBody,omitempty"`
	// RefuseFull refuses each call as if the service were full.
	RefuseFull bool `json:"refuseFull,omitempty"`
}

// Faults returns the faults set.
func (s *Service) Faults() any {
	var faults Faults
	s.gate.Inspect(func() { faults = s.faults })
	return faults
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(text []byte) error {
	var faults Faults
	if err := json.Unmarshal(text, &faults); err != nil {
		return err
	}
	s.gate.Inspect(func() { s.faults = faults })
	return nil
}

// Act carries out a named action.
func (s *Service) Act(action string) bool {
	switch action {
	case "freeze":
		s.gate.Freeze()
	case "thaw":
		s.gate.Thaw()
	case "silence":
		s.server.Silence()
	case "leave":
		s.gate.Inspect(func() { s.leaving = true })
	case "stay":
		s.gate.Inspect(func() { s.leaving = false })
	default:
		return false
	}
	s.log.Log(event.StandinFaultSet, "plain", string(s.settings.ID), "action", action)
	return true
}

// Ledger is what a plain service truly ran, for proofs.
type Ledger struct {
	Service chicoryhall.EndpointID `json:"service"`
	Calls   []CallRun              `json:"calls"`
}

// CallRun is what was run of one request.
type CallRun struct {
	Request   chicoryhall.RequestID `json:"request"`
	Operation string                `json:"operation"`
	Body      string                `json:"body"`
	// Executions counts the starts, Finished those that ended; Refused counts the calls not started.
	Executions int `json:"executions"`
	Finished   int `json:"finished"`
	Refused    int `json:"refused"`
	// AtMillis is the time of the last start in Unix milliseconds.
	AtMillis int64 `json:"atMillis"`
}

// ledger holds the entries, the oldest first.
type ledger struct {
	calls map[chicoryhall.RequestID]*CallRun
	order []*CallRun
}

func newLedger() ledger {
	return ledger{calls: map[chicoryhall.RequestID]*CallRun{}}
}

func (l *ledger) entry(call *engine.Call) *CallRun {
	entry := l.calls[call.Request]
	if entry == nil {
		entry = &CallRun{Request: call.Request, Operation: call.Operation, Body: call.Body}
		l.calls[call.Request] = entry
		l.order = append(l.order, entry)
	}
	return entry
}

func (l *ledger) start(call *engine.Call, atMillis int64) {
	entry := l.entry(call)
	entry.Executions++
	entry.AtMillis = atMillis
}

func (l *ledger) finish(call *engine.Call) { l.entry(call).Finished++ }

func (l *ledger) refuse(call *engine.Call) { l.entry(call).Refused++ }

// Ledger returns what was truly run.
func (s *Service) Ledger() any {
	out := Ledger{Service: s.settings.ID, Calls: []CallRun{}}
	s.gate.Inspect(func() {
		for _, entry := range s.ledger.order {
			out.Calls = append(out.Calls, *entry)
		}
	})
	return out
}
