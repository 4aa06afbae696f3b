package modelengine

import (
	"chicoryhall.example/chicoryhall/cmd/chicorystand/stage"
	"chicoryhall.example/chicoryhall/engine"
)

// HandleMessage handles one message from another engine.
func (e *Engine) HandleMessage(from *stage.Conn, message *stage.Message) {
	e.do(func() { e.receive(from, message) })
}

// HandleClosed handles the end of a connection to another engine.
func (e *Engine) HandleClosed(c *stage.Conn) {
	e.do(func() { e.closed(c) })
}

// receive handles all parts of a message.
func (e *Engine) receive(from *stage.Conn, message *stage.Message) {
	if message.Open != nil {
		e.receiveOpen(from, message.Open)
	}
	if message.Ready != nil {
		e.receiveReady(message.Ready)
	}
	for i := range message.Steps {
		e.receiveStep(from, &message.Steps[i])
	}
	for i := range message.Tokens {
		e.receiveToken(&message.Tokens[i])
	}
	if message.Failed != nil {
		if state := e.find(message.Failed.Reference); state != nil {
			e.fail(state, message.Failed.Engine, message.Failed.Refusal)
		}
	}
	if message.Cancel != nil {
		e.receiveCancel(message.Cancel)
	}
	if message.Probe != nil {
		e.receiveProbe(from, message.Probe)
	}
	if message.Progress != nil {
		e.receiveProgress(message.Progress)
	}
	e.startStep()
}

// find returns the running state to which a message refers, or nil.
func (e *Engine) find(r stage.Reference) *stageState {
	if r.From != stage.AnyStage {
		state := e.states[stateKey{stream: r.Stream, from: r.From}]
		if state != nil && state.active && state.start.Attempt == r.Attempt {
			return state
		}
		return nil
	}
	for key, state := range e.states {
		if key.stream == r.Stream && state.active && state.start.Attempt == r.Attempt {
			return state
		}
	}
	return nil
}

// sendRefusal answers a message that cannot be handled, for example as it belongs to no running state. Without a state,
// this engine does not know the sender's stage, so it addresses the answer to AnyStage.
func (e *Engine) sendRefusal(from *stage.Conn, r stage.Reference, refusal engine.Refusal) {
	r.From = stage.AnyStage
	from.Send(&stage.Message{Failed: &stage.Failed{Reference: r, Engine: e.settings.ID, Refusal: refusal}})
}

func (e *Engine) receiveOpen(from *stage.Conn, open *stage.Open) {
	state, refusal := e.open(&open.Start, open.Index, from)
	if refusal != engine.RefusalNone {
		e.sendRefusal(from, open.Reference, refusal)
		return
	}
	e.requestInputs(state)
}

func (e *Engine) receiveReady(ready *stage.Ready) {
	state := e.find(ready.Reference)
	if state == nil {
		return
	}
	state.nextReady = true
	state.sent = ready.HeldPositions
	e.forward(state)
}

// receiveStep queues an input. It must belong to the first position that is neither held nor queued. A step of an
// attempt that is not running here is refused as well: with RefusalOldAttempt if the attempt is outdated or cancelled,
// and otherwise with RefusalWrongPosition.
func (e *Engine) receiveStep(from *stage.Conn, step *stage.Step) {
	state := e.find(step.Reference)
	if state == nil {
		if !e.attempts.allows(step.Stream, step.Attempt) {
			e.sendRefusal(from, step.Reference, engine.RefusalOldAttempt)
			return
		}
		e.sendRefusal(from, step.Reference, engine.RefusalWrongPosition)
		return
	}
	if step.Position != state.heldPositions()+len(state.inputs) {
		e.fail(state, e.settings.ID, engine.RefusalWrongPosition)
		return
	}
	state.inputs = append(state.inputs, step.Activation)
}

func (e *Engine) receiveCancel(r *stage.Reference) {
	e.attempts.record(r.Stream, r.Attempt, true)
	if state := e.find(*r); state != nil {
		e.stop(state)
	}
}

// receiveProbe reports to the first engine if this stage has sent the output of the position, and probes the next
// stage. A probe of an attempt that is not running here is refused with RefusalWrongPosition.
func (e *Engine) receiveProbe(from *stage.Conn, probe *stage.Probe) {
	state := e.find(probe.Reference)
	if state == nil {
		e.sendRefusal(from, probe.Reference, engine.RefusalWrongPosition)
		return
	}
	if state.sent <= probe.Position {
		return
	}
	e.sendProgress(state, &stage.Progress{Position: probe.Position, Index: state.index})
	if !state.isLast() {
		e.probe(state, probe.Position)
	}
}

// probe asks the following stages which of them have sent their output for the position.
func (e *Engine) probe(state *stageState, position int) {
	reference := state.reference(state.index + 1)
	state.next.Send(&stage.Message{Probe: &stage.Probe{Reference: reference, Position: position}})
}

// sendProgress passes a progress message on towards the first engine.
func (e *Engine) sendProgress(state *stageState, progress *stage.Progress) {
	if state.previous == nil {
		return
	}
	progress.Reference = state.reference(state.index - 1)
	state.previous.Send(&stage.Message{Progress: progress})
}

func (e *Engine) receiveProgress(progress *stage.Progress) {
	state := e.find(progress.Reference)
	if state == nil {
		return
	}
	if d := e.drivers[state.key.stream]; d != nil && d.state == state {
		d.recordProgress(progress)
		return
	}
	e.sendProgress(state, progress)
}

// closed ends the streams that depend on the connection.
func (e *Engine) closed(c *stage.Conn) {
	for _, state := range e.states {
		switch {
		case !state.active:
		case state.next == c:
			e.fail(state, state.start.Route[state.index+1].Engine, engine.RefusalUnreachable)
		case state.previous == c:
			e.stop(state)
		// Only the last stage sends tokens to the first engine. In a route of two engines, that is the previous
		// connection.
		case state.isLast() && state.index > 1 && c.Address() == state.start.Route[0].Address:
			e.resendToken(state)
		}
	}
}

// resendToken sends the last token to the first engine again over a new connection, as the
// old one may have lost it. If the new connection is lost too, the stream ends.
func (e *Engine) resendToken(state *stageState) {
	if state.sampled == nil {
		return
	}
	if state.resent {
		e.fail(state, e.settings.ID, engine.RefusalUnreachable)
		return
	}
	state.resent = true
	e.firstEngine(state).Send(&stage.Message{Tokens: []stage.SampledToken{*state.sampled}})
}
