package modelengine

import (
	"encoding/json"
	"slices"

	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/event"
)

// promptPiece is the number of bytes of a prompt that digest.Tokenize converts to one token.
const promptPiece = 8

// Faults are the faults injected into an engine. The zero value has none.
type Faults struct {
	// Slow multiplies the duration of each step. 0 means no fault.
	Slow float64 `json:"slow,omitempty"`
	// LateMillis delays each event of a stream.
	LateMillis int64 `json:"lateMillis,omitempty"`
	// CrashPrompt crashes the process when a prompt that starts with this text starts to run.
	// Only its complete pieces of eight bytes are compared, so a shorter text has no effect.
	CrashPrompt string `json:"crashPrompt,omitempty"`
	// RefuseFull refuses each new stream as if the engine were full.
	RefuseFull bool `json:"refuseFull,omitempty"`
}

// crashes reports whether a prompt crashes the process.
func (f *Faults) crashes(prompt []digest.Token) bool {
	pieces := len(f.CrashPrompt) / promptPiece
	if pieces == 0 || len(prompt) < pieces {
		return false
	}
	return slices.Equal(prompt[:pieces], digest.Tokenize(f.CrashPrompt)[:pieces])
}

// Faults returns the current faults.
func (e *Engine) Faults() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(text []byte) error {
	var faults Faults
	if err := json.Unmarshal(text, &faults); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	return nil
}

// Act executes a named action. It returns false if there is no such action.
func (e *Engine) Act(action string) bool {
	switch action {
	case "freeze":
		e.freeze()
	case "thaw":
		e.thaw()
	case "silence":
		e.server.Silence()
		e.connPool.Silence()
	case "leave":
		e.setLeaving(true)
	case "stay":
		e.setLeaving(false)
	default:
		return false
	}
	e.log.Log(event.StandinFaultSet, "engine", string(e.settings.ID), "action", action)
	return true
}

func (e *Engine) freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = true
	e.connPool.SetFrozen(true)
}

// thaw runs the calls that arrived while the engine was frozen.
func (e *Engine) thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = false
	e.connPool.SetFrozen(false)
	backlog := e.backlog
	e.backlog = nil
	for _, call := range backlog {
		call()
	}
}

func (e *Engine) setLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SilenceTo silences the open connection to another engine permanently. A new connection works.
func (e *Engine) SilenceTo(address string) {
	e.connPool.SilenceTo(address)
}
