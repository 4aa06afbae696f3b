package modelengine

import (
	"encoding/json"
	"slices"

	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/event"
)

// promptPiece is the length in bytes of the text that becomes one token.
const promptPiece = 8

// Faults are the faults of an engine; the zero value has none.
type Faults struct {
	// Slow multiplies the time of each step; 0 is 1.
	Slow float64 `json:"slow,omitempty"`
	// LateMillis delays each event of a stream.
	LateMillis int64 `json:"lateMillis,omitempty"`
	// CrashPrompt ends the process when a prompt that begins with this text begins to run.
	// Only its whole pieces of eight bytes count.
	CrashPrompt string `json:"crashPrompt,omitempty"`
	// RefuseFull refuses each new stream as if the engine were full.
	RefuseFull bool `json:"refuseFull,omitempty"`
}

// crashes reports whether a prompt ends the process.
func (f *Faults) crashes(prompt []digest.Token) bool {
	whole := len(f.CrashPrompt) / promptPiece
	if whole == 0 || len(prompt) < whole {
		return false
	}
	return slices.Equal(prompt[:whole], digest.Tokenize(f.CrashPrompt)[:whole])
}

// Faults returns the faults set.
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

// Act carries out a named action.
func (e *Engine) Act(action string) bool {
	switch action {
	case "freeze":
		e.freeze()
	case "thaw":
		e.thaw()
	case "silence":
		e.server.Silence()
		e.network.Silence()
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
	e.network.Freeze(true)
}

// thaw runs what came while the engine was frozen.
func (e *Engine) thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = false
	e.network.Freeze(false)
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

// SilenceTo makes the open connection to another engine silent for good; a new one works.
func (e *Engine) SilenceTo(address string) {
	e.network.SilenceTo(address)
}
