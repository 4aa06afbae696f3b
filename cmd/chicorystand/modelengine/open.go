package modelengine

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/stage"
	"chicoryhall.example/chicoryhall/engine"
)

// open starts a stream at the hop with the given index of its route. The connection previous is nil at the first
// engine.
func (e *Engine) open(start *engine.StreamRequest, index int, previous *stage.Conn) (*stageState, engine.Refusal) {
	if refusal := validate(start, index); refusal != engine.RefusalNone {
		return nil, refusal
	}
	hop := start.Route[index]
	old := e.states[stateKey{stream: start.Stream, from: hop.From}]
	reusesKV := canReuseKV(old, hop)
	if refusal := e.refusalOf(start, hop, old, reusesKV); refusal != engine.RefusalNone {
		return nil, refusal
	}
	e.attempts.record(start.Stream, start.Attempt, false)
	e.supersede(start.Stream, start.Attempt)
	state := newState(start, index)
	state.previous = previous
	state.active = true
	state.lastUsed = e.timer.Now()
	state.expiresAt = state.lastUsed.Add(time.Duration(start.TimeoutMillis)*time.Millisecond + expiryGrace)
	e.sequence++
	state.sequence = e.sequence
	state.record = e.ledger.open(start, hop, index, millis(state.lastUsed))
	e.insert(state, old, reusesKV)
	e.evictIdle()
	if !state.isLast() {
		state.next = e.connPool.ConnTo(start.Route[index+1].Address)
		state.next.Send(&stage.Message{Open: &stage.Open{Reference: state.reference(index + 1), Index: index + 1, Start: *start}})
	}
	return state, engine.RefusalNone
}

// validate refuses a start that no engine could run.
func validate(start *engine.StreamRequest, index int) engine.Refusal {
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

// canReuseKV reports whether the hop asks for reusing the KV of an earlier attempt and old is that attempt's state.
func canReuseKV(old *stageState, hop chicoryhall.Hop) bool {
	return hop.ReuseKV && old != nil && old.start.Attempt == hop.ImportAttempt && old.hop.To == hop.To
}

// refusalOf returns the reason why the engine cannot run a start, or RefusalNone. A stream that continues with the KV
// that this engine has from an earlier attempt is accepted also if the engine is leaving or no longer holds the layers.
// An attempt may be opened once for each hop that this engine has in the route, but not twice for the same hop.
func (e *Engine) refusalOf(start *engine.StreamRequest, hop chicoryhall.Hop, old *stageState, reusesKV bool) engine.Refusal {
	alreadyOpened := old != nil && old.start.Attempt == start.Attempt
	switch {
	case alreadyOpened || !e.attempts.allows(start.Stream, start.Attempt):
		return engine.RefusalOldAttempt
	case e.leaving && !reusesKV:
		return engine.RefusalLeaving
	case !reusesKV && !e.holds(start.Model, start.Version, hop.From, hop.To):
		return engine.RefusalNotLoaded
	case e.faults.RefuseFull || e.isFull(start):
		return engine.RefusalFull
	}
	return engine.RefusalNone
}

// supersede ends older attempts of the stream on this engine.
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

// insert replaces the old state, if any, by a new one and gives it the KV to start with: that of the old state, an
// import from another engine, or a cached prefix.
func (e *Engine) insert(state, old *stageState, reusesKV bool) {
	maxReused := state.givenTokens() - 1
	adopted := reusesKV && state.adopt(old, maxReused)
	if old != nil {
		e.cache.remove(old, e.timer.Now(), e.loseCacheEvent)
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
	e.cache.adopt(state, maxReused)
}

// requestInputs tells the previous engine which positions this stage already has, so that it sends the others. At the
// first engine, the driver queues them.
func (e *Engine) requestInputs(state *stageState) {
	if state.importing || !state.active {
		return
	}
	if state.isLast() {
		state.sent = state.givenTokens() - 1
	}
	if state.previous != nil {
		ready := &stage.Ready{Reference: state.reference(state.index - 1), HeldPositions: state.heldPositions()}
		state.previous.Send(&stage.Message{Ready: ready})
	}
	if d := e.drivers[state.key.stream]; d != nil && d.state == state {
		d.queueInputs()
	}
	e.forward(state)
	e.startStep()
}

// stop ends a stream on this engine and on the following ones. Its KV is kept until it is evicted.
func (e *Engine) stop(state *stageState) {
	if !state.active {
		return
	}
	state.active = false
	state.inputs = nil
	state.lastUsed = e.timer.Now()
	if state.next != nil {
		reference := state.reference(state.index + 1)
		state.next.Send(&stage.Message{Cancel: &reference})
	}
}

// fail ends a stream because an engine failed, on this engine and on all others of the route.
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
