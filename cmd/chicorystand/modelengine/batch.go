package modelengine

import (
	"slices"
	"time"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/control"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/stage"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/engine"
)

// batch is the step that the accelerator runs.
type batch struct {
	running bool
	works   []work
	due     time.Time
	// mean is the recent mean time of a step.
	mean time.Duration
}

// work is the share of one stream in a step.
type work struct {
	state *stageState
	count int
}

// maxLateness is how late the end of a step may be noticed for the next step to begin when the
// step was due, as an accelerator would go on without the process.
const maxLateness = 20 * time.Millisecond

// meanWeight is the weight of the older steps in the mean time of a step.
const meanWeight = 7

// kick begins the next step when none runs and a stream is ready.
func (e *Engine) kick() {
	if e.batch.running {
		return
	}
	works := e.pick()
	now := e.timer.Now()
	if len(works) == 0 {
		e.batch.due = time.Time{}
		return
	}
	e.batch.running = true
	e.batch.works = works
	cost := e.cost(works)
	begin := e.batch.due
	if now.Sub(begin) > maxLateness {
		begin = now
	}
	e.batch.due = begin.Add(cost)
	e.batch.mean = (e.batch.mean*meanWeight + cost) / (meanWeight + 1)
	e.after(e.batch.due.Sub(now), e.finishStep)
}

// pick chooses the streams of the next step by priority, then by arrival.
func (e *Engine) pick() []work {
	var ready []*stageState
	for _, state := range e.states {
		if state.active && !state.importing && len(state.inbox) > 0 {
			ready = append(ready, state)
		}
	}
	slices.SortFunc(ready, func(a, b *stageState) int {
		if a.start.Priority != b.start.Priority {
			return a.start.Priority - b.start.Priority
		}
		return int(a.arrival) - int(b.arrival)
	})
	ready = ready[:min(len(ready), e.settings.Batch)]
	works := make([]work, 0, len(ready))
	for _, state := range ready {
		if e.faults.crashes(state.start.Prompt) {
			control.Crash()
		}
		works = append(works, work{state: state, count: min(len(state.inbox), prefillChunk)})
	}
	return works
}

// cost returns the time that the accelerator needs for a step.
func (e *Engine) cost(works []work) time.Duration {
	cost := e.settings.StepTime
	for _, w := range works {
		tokens := (w.count + engine.PrefillSpeedup - 1) / engine.PrefillSpeedup
		cost += e.settings.LayerTime * time.Duration(w.state.layers()*tokens)
	}
	if e.faults.Slow > 0 {
		cost = time.Duration(float64(cost) * e.faults.Slow)
	}
	return cost
}

// finishStep computes the step that has ended and passes its outputs on.
func (e *Engine) finishStep() {
	works := e.batch.works
	e.batch.running = false
	e.batch.works = nil
	out := newOutgoing()
	for _, w := range works {
		if !w.state.active || len(w.state.inbox) < w.count {
			continue
		}
		e.run(w)
		e.collect(w.state, out)
	}
	e.flush(out)
	e.kick()
}

func (e *Engine) run(w work) {
	state := w.state
	first := state.have()
	for _, in := range state.inbox[:w.count] {
		state.run(in)
	}
	state.inbox = state.inbox[w.count:]
	state.touched = e.timer.Now()
	state.record.add(first, state.have())
	e.cache.register(state, e.timer.Now(), e.lose)
}

// outgoing are the messages of one step, one frame per connection.
type outgoing struct {
	messages map[*stage.Conn]*stage.Message
	local    []stage.Sampled
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

// pass sends on what a stage has computed and the next one lacks.
func (e *Engine) pass(state *stageState) {
	out := newOutgoing()
	e.collect(state, out)
	e.flush(out)
}

func (e *Engine) collect(state *stageState, out *outgoing) {
	if state.last() {
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

// collectTokens samples the token behind each position from the last given one on.
func (e *Engine) collectTokens(state *stageState, out *outgoing) {
	for ; state.sent < state.have(); state.sent++ {
		sampled := stage.Sampled{
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
		message := out.to(e.head(state))
		message.Tokens = append(message.Tokens, sampled)
	}
}

// head returns the connection to the first engine of a state's route.
func (e *Engine) head(state *stageState) *stage.Conn {
	if state.index == 1 {
		return state.previous
	}
	return e.network.To(state.start.Route[0].Address)
}

func (e *Engine) flush(out *outgoing) {
	for c, message := range out.messages {
		c.Send(message)
	}
	for i := range out.local {
		e.sampled(&out.local[i])
	}
}
