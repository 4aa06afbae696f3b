package plainservice

import (
	"encoding/json"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/event"
)

// Faults are the faults of a plain service. The zero value has none.
type Faults struct {
	// Slow multiplies the duration of each call. 0 means no fault, like 1.
	Slow float64 `json:"slow,omitempty"`
	// LateMillis delays each answer after the end of its call.
	LateMillis int64 `json:"lateMillis,omitempty"`
	// LoseAnswers is the number of calls whose answer is lost: when one of the next calls finishes, its connection is
	// closed without an answer.
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

// SetFaults replaces the faults by those given as JSON.
func (s *Service) SetFaults(text []byte) error {
	var faults Faults
	if err := json.Unmarshal(text, &faults); err != nil {
		return err
	}
	s.gate.DoAlways(func() { s.faults = faults })
	return nil
}

// Act executes an action: freeze, thaw, silence (see package control), or leave and stay, which make the service refuse
// or accept new calls, as an order does, but without a fence. It returns false for any other action.
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

// Ledger records the calls that one VM of a plain service ran or refused, for tests to check.
type Ledger struct {
	// Service is the endpoint ID of this one VM, not the name of the service.
	Service chicoryhall.EndpointID `json:"service"`
	Calls   []RequestRecord        `json:"calls"`
}

// RequestRecord records all calls received for one request. If there is more than one, the request was repeated.
// Refused calls without a request ID share one RequestRecord. Operation and Body are those of the first call.
type RequestRecord struct {
	Request   chicoryhall.RequestID `json:"request"`
	Operation string                `json:"operation"`
	Body      string                `json:"body"`
	// Executions is the number of calls started, Finished the number of calls completed, Refused the number of calls
	// refused without being started.
	Executions int `json:"executions"`
	Finished   int `json:"finished"`
	Refused    int `json:"refused"`
	// AtMillis is when the last call was started, in Unix milliseconds.
	AtMillis int64 `json:"atMillis"`
}

// callLog holds the entries of the Ledger.
type callLog struct {
	byRequest map[chicoryhall.RequestID]*RequestRecord
	entries   []*RequestRecord // in the order of the first call
}

func newCallLog() callLog {
	return callLog{byRequest: map[chicoryhall.RequestID]*RequestRecord{}}
}

// entry returns the entry of a call's request. It creates the entry if there is none.
func (l *callLog) entry(call *engine.Call) *RequestRecord {
	entry := l.byRequest[call.Request]
	if entry == nil {
		entry = &RequestRecord{Request: call.Request, Operation: call.Operation, Body: call.Body}
		l.byRequest[call.Request] = entry
		l.entries = append(l.entries, entry)
	}
	return entry
}

func (l *callLog) recordStart(call *engine.Call, atMillis int64) {
	entry := l.entry(call)
	entry.Executions++
	entry.AtMillis = atMillis
}

func (l *callLog) recordFinish(call *engine.Call) { l.entry(call).Finished++ }

func (l *callLog) recordRefusal(call *engine.Call) { l.entry(call).Refused++ }

// Ledger returns a copy of the ledger.
func (s *Service) Ledger() any {
	ledger := Ledger{Service: s.settings.ID, Calls: []RequestRecord{}}
	s.gate.DoAlways(func() {
		for _, entry := range s.calls.entries {
			ledger.Calls = append(ledger.Calls, *entry)
		}
	})
	return ledger
}
