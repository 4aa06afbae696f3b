package modelengine

import (
	"slices"
	"time"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/control"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/stage"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/engine"
)

// batch is the state of the simulated accelerator: the running step, if any, and the timing of the steps so far.
type batch struct {
	running bool
	works   []work    // what the running step computes
	end     time.Time // of the running step or else of the last one; zero if no stream had inputs for a next step
	// meanDuration is the moving average of the steps' durations.
	meanDuration time.Duration
}

// work is the part of a step that belongs to one stream: its next count inputs.
type work struct {
	state *stageState
	count int
}

// maxLateness is how late the end of a step may be noticed without delaying the next step. The next step then starts,
// in simulated time, when the last one ended. A real accelerator would not be delayed by a busy host either.
const maxLateness = 20 * time.Millisecond

// meanWeight is the weight of the previous average against one new step in the moving average of durations.
const meanWeight = 7

// startStep starts the next step if none is running and a stream has inputs.
func (e *Engine) startStep() {
	if e.batch.running {
		return
	}
	works := e.selectWork()
	now := e.timer.Now()
	if len(works) == 0 {
		e.batch.end = time.Time{}
		return
	}
	e.batch.running = true
	e.batch.works = works
	duration := e.stepDuration(works)
	begin := e.batch.end
	if now.Sub(begin) > maxLateness {
		begin = now
	}
	e.batch.end = begin.Add(duration)
	e.batch.meanDuration = (e.batch.meanDuration*meanWeight + duration) / (meanWeight + 1)
	e.after(e.batch.end.Sub(now), e.finishStep)
}

// selectWork selects the streams for the next step by priority, then in the order in which they were opened.
func (e *Engine) selectWork() []work {
	var ready []*stageState
	for _, state := range e.states {
		if state.active && !state.importing && len(state.inputs) > 0 {
			ready = append(ready, state)
		}
	}
	slices.SortFunc(ready, func(a, b *stageState) int {
		if a.start.Priority != b.start.Priority {
			return a.start.Priority - b.start.Priority
		}
		return int(a.sequence) - int(b.sequence)
	})
	ready = ready[:min(len(ready), e.settings.Batch)]
	works := make([]work, 0, len(ready))
	for _, state := range ready {
		if e.faults.crashes(state.start.Prompt) {
			control.Crash()
		}
		works = append(works, work{state: state, count: min(len(state.inputs), prefillChunk)})
	}
	return works
}

// stepDuration returns the time that the accelerator takes for a step.
func (e *Engine) stepDuration(works []work) time.Duration {
	duration := e.settings.StepTime
	for _, w := range works {
		// A prompt token costs a PrefillSpeedup-th part of a generated token.
		tokens := (w.count + engine.PrefillSpeedup - 1) / engine.PrefillSpeedup
		duration += e.settings.LayerTime * time.Duration(w.state.layers()*tokens)
	}
	if e.faults.Slow > 0 {
		duration = time.Duration(float64(duration) * e.faults.Slow)
	}
	return duration
}

// finishStep computes the step whose simulated time has ended and sends its outputs.
func (e *Engine) finishStep() {
	works := e.batch.works
	e.batch.running = false
	e.batch.works = nil
	out := newOutgoing()
	for _, w := range works {
		if !w.state.active || len(w.state.inputs) < w.count {
			continue
		}
		e.run(w)
		e.collectOutputs(w.state, out)
	}
	e.flush(out)
	e.startStep()
}

// run computes the inputs of a work.
func (e *Engine) run(w work) {
	state := w.state
	first := state.heldPositions()
	for _, in := range state.inputs[:w.count] {
		state.run(in)
	}
	state.inputs = state.inputs[w.count:]
	state.lastUsed = e.timer.Now()
	state.record.add(first, state.heldPositions())
	e.cache.register(state, e.timer.Now(), e.loseCacheEvent)
}

// outgoing collects the messages of one step, one for each connection.
type outgoing struct {
	messages map[*stage.Conn]*stage.Message
	local    []stage.SampledToken // tokens for drivers of this engine
}

func newOutgoing() *outgoing {
	return &outgoing{messages: map[*stage.Conn]*stage.Message{}}
}

func (o *outgoing) to(c *stage.Conn) *stage.Message {
	message := o.messages[c]
	if message == nil {
		message = &stage.Message{}
		o.messages[c] = message
	}
	return message
}

// forward sends the outputs of a stage that the next stage does not have yet.
func (e *Engine) forward(state *stageState) {
	out := newOutgoing()
	e.collectOutputs(state, out)
	e.flush(out)
}

// collectOutputs collects the outputs of a stage that the next stage, or the driver, does not have yet.
func (e *Engine) collectOutputs(state *stageState, out *outgoing) {
	if state.isLast() {
		e.collectTokens(state, out)
		return
	}
	if !state.nextReady {
		return
	}
	reference := state.reference(state.index + 1)
	for ; state.sent < len(state.outputs); state.sent++ {
		message := out.to(state.next)
		step := stage.Step{Reference: reference, Position: state.sent, Activation: state.outputs[state.sent]}
		message.Steps = append(message.Steps, step)
	}
}

// collectTokens samples, at the last stage, the token that follows each computed position, and collects it for the
// first engine.
func (e *Engine) collectTokens(state *stageState, out *outgoing) {
	for ; state.sent < state.heldPositions(); state.sent++ {
		sampled := stage.SampledToken{
			Reference: state.reference(0),
			Position:  state.sent + 1,
			Token:     digest.Sample(state.outputs[state.sent], e.random.Uint32()),
		}
		if state.index == 0 {
			out.local = append(out.local, sampled)
			continue
		}
		state.sampled = &sampled
		state.resent = false
		message := out.to(e.firstEngine(state))
		message.Tokens = append(message.Tokens, sampled)
	}
}

// firstEngine returns the connection to the first engine of a state's route.
func (e *Engine) firstEngine(state *stageState) *stage.Conn {
	if state.index == 1 {
		return state.previous
	}
	return e.connPool.ConnTo(state.start.Route[0].Address)
}

// flush sends the collected messages.
func (e *Engine) flush(out *outgoing) {
	for c, message := range out.messages {
		c.Send(message)
	}
	for i := range out.local {
		e.receiveToken(&out.local[i])
	}
}
