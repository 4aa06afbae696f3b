package plainservice

import (
	"encoding/json"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/event"
)

// Faults are the faults of a plain service. The zero value has none.
type Faults struct {
	// Slow multiplies the duration of each call. 0 means no fault.
	Slow float64 `json:"slow,omitempty"`
	// LateMillis delays each answer after the end of its call.
	LateMillis int64 `json:"lateMillis,omitempty"`
	// LoseAnswers is the number of next calls that run without being answered.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// CrashBody crashes the process when a call starts whose body contains this text.
	CrashBody string `json:"crashBody,omitempty"`
	// RefuseFull refuses each call as if the service were full.
	RefuseFull bool `json:"refuseFull,omitempty"`
}

// Faults returns the current faults.
func (s *Service) Faults() any {
	var faults Faults
	s.gate.DoAlways(func() { faults = s.faults })
	return faults
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(text []byte) error {
	var faults Faults
	if err := json.Unmarshal(text, &faults); err != nil {
		return err
	}
	s.gate.DoAlways(func() { s.faults = faults })
	return nil
}

// Act executes a named action. It returns false if there is no such action.
func (s *Service) Act(action string) bool {
	switch action {
	case "freeze":
		s.gate.Freeze()
	case "thaw":
		s.gate.Thaw()
	case "silence":
		s.server.Silence()
	case "leave":
		s.gate.DoAlways(func() { s.leaving = true })
	case "stay":
		s.gate.DoAlways(func() { s.leaving = false })
	default:
		return false
	}
	s.log.Log(event.StandinFaultSet, "plain", string(s.settings.ID), "action", action)
	return true
}

// Ledger records what a plain service actually ran, for tests to check.
type Ledger struct {
	Service chicoryhall.EndpointID `json:"service"`
	Calls   []CallRun              `json:"calls"`
}

// CallRun records what was run for one request.
type CallRun struct {
	Request   chicoryhall.RequestID `json:"request"`
	Operation string                `json:"operation"`
	Body      string                `json:"body"`
	// Executions is the number of calls started, Finished the number of calls completed, Refused the number of calls
	// refused without being started.
	Executions int `json:"executions"`
	Finished   int `json:"finished"`
	Refused    int `json:"refused"`
	// AtMillis is the time of the last start in Unix milliseconds.
	AtMillis int64 `json:"atMillis"`
}

// ledger holds the entries, oldest first.
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

// Ledger returns a copy of the ledger.
func (s *Service) Ledger() any {
	out := Ledger{Service: s.settings.ID, Calls: []CallRun{}}
	s.gate.DoAlways(func() {
		for _, entry := range s.ledger.order {
			out.Calls = append(out.Calls, *entry)
		}
	})
	return out
}
