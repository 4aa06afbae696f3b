package modelengine

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/stage"
	"chicoryhall.example/chicoryhall/engine"
)

// open begins a stream at this engine's place of its route; previous is nil at the first engine.
func (e *Engine) open(start *engine.StreamRequest, index int, previous *stage.Conn) (*stageState, engine.Refusal) {
	if refusal := check(start, index); refusal != engine.RefusalNone {
		return nil, refusal
	}
	hop := start.Route[index]
	old := e.states[stateKey{stream: start.Stream, from: hop.From}]
	kept := keeps(old, hop)
	if refusal := e.refuse(start, hop, old, kept); refusal != engine.RefusalNone {
		return nil, refusal
	}
	e.attempts.note(start.Stream, start.Attempt, false)
	e.supersede(start.Stream, start.Attempt)
	state := newState(start, index)
	state.previous = previous
	state.active = true
	state.touched = e.timer.Now()
	state.until = state.touched.Add(time.Duration(start.TimeoutMillis)*time.Millisecond + expiryGrace)
	e.sequence++
	state.arrival = e.sequence
	state.record = e.ledger.open(start, hop, index, millis(state.touched))
	e.put(state, old, kept)
	e.makeRoom()
	if !state.last() {
		state.next = e.network.To(start.Route[index+1].Address)
		state.next.Send(&stage.Message{Open: &stage.Open{Reference: state.reference(index + 1), Index: index + 1, Start: *start}})
	}
	return state, engine.RefusalNone
}

// check reports a start that no engine could run.
func check(start *engine.StreamRequest, index int) engine.Refusal {
	ok := start.Stream != "" && index >= 0 && index < len(start.Route) && len(start.Prompt) > 0 &&
		start.MaxTokens > 0 && start.Route[0].From == 0
	if !ok {
		return engine.RefusalMalformed
	}
	for i, hop := range start.Route {
		if hop.From >= hop.To || i > 0 && start.Route[i-1].To != hop.From {
			return engine.RefusalMalformed
		}
	}
	return engine.RefusalNone
}

// keeps reports whether old is the KV that the hop wants to go on with.
func keeps(old *stageState, hop chicoryhall.Hop) bool {
	return hop.ReuseKV && old != nil && old.start.Attempt == hop.ImportAttempt && old.hop.To == hop.To
}

func (e *Engine) refuse(start *engine.StreamRequest, hop chicoryhall.Hop, old *stageState, kept bool) engine.Refusal {
	known := old != nil && old.start.Attempt == start.Attempt
	switch {
	case known || !e.attempts.allows(start.Stream, start.Attempt):
		return engine.RefusalOldAttempt
	case e.leaving && !kept:
		return engine.RefusalLeaving
	case !kept && !e.holds(start.Model, start.Version, hop.From, hop.To):
		return engine.RefusalNotLoaded
	case e.faults.RefuseFull || e.full(start):
		return engine.RefusalFull
	}
	return engine.RefusalNone
}

// supersede ends what older attempts of the stream still run here.
func (e *Engine) supersede(stream chicoryhall.RequestID, newest int) {
	if d := e.drivers[stream]; d != nil && d.start.Attempt < newest {
		e.endDriver(d, &engine.Event{Kind: engine.EventStageFailed, Engine: e.settings.ID, Refusal: engine.RefusalOldAttempt})
	}
	for key, state := range e.states {
		if key.stream == stream && state.active && state.start.Attempt < newest {
			e.stop(state)
		}
	}
}

// put enters a new state in place of an old one and gives it the KV that it may begin with.
func (e *Engine) put(state, old *stageState, kept bool) {
	most := state.given() - 1
	adopted := kept && state.adopt(old, most)
	if old != nil {
		e.cache.remove(old, e.timer.Now(), e.lose)
	}
	e.states[state.key] = state
	if adopted {
		return
	}
	if state.hop.ImportFrom != "" {
		state.importing = true
		e.startImport(state)
		return
	}
	e.cache.adopt(state, most)
}

// begin tells the engine before which positions are missing; the first engine fills its own inbox.
func (e *Engine) begin(state *stageState) {
	if state.importing || !state.active {
		return
	}
	if state.last() {
		state.sent = state.given() - 1
	}
	if state.previous != nil {
		ready := &stage.Ready{Reference: state.reference(state.index - 1), Have: state.have()}
		state.previous.Send(&stage.Message{Ready: ready})
	}
	if d := e.drivers[state.key.stream]; d != nil && d.state == state {
		d.fill()
	}
	e.pass(state)
	e.kick()
}

// stop ends a stream at this engine and at those behind it; its KV stays until it is evicted.
func (e *Engine) stop(state *stageState) {
	if !state.active {
		return
	}
	state.active = false
	state.inbox = nil
	state.touched = e.timer.Now()
	if state.next != nil {
		reference := state.reference(state.index + 1)
		state.next.Send(&stage.Message{Cancel: &reference})
	}
}

// fail ends a stream because an engine failed, here and all the way to the first engine.
func (e *Engine) fail(state *stageState, failed chicoryhall.EndpointID, refusal engine.Refusal) {
	if !state.active {
		return
	}
	e.stop(state)
	if state.previous != nil {
		state.previous.Send(&stage.Message{Failed: &stage.Failed{
			Reference: state.reference(state.index - 1), Engine: failed, Refusal: refusal,
		}})
	}
	if d := e.drivers[state.key.stream]; d != nil && d.state == state {
		e.endDriver(d, &engine.Event{Kind: engine.EventStageFailed, Engine: failed, Refusal: refusal})
	}
}
