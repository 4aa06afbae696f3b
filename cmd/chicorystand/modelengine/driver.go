package modelengine

import (
	"encoding/json"
	"net/http"
	"time"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/serve"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/stage"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/engine"
)

// mediaTypeLines is the type of an answer of one JSON value per line.
const mediaTypeLines = "application/x-ndjson"

// driver runs one stream at the first engine of its route.
type driver struct {
	start  *engine.StreamRequest
	state  *stageState
	stream *serve.Stream
	// tokens are the prompt and the answer so far.
	tokens    []digest.Token
	prefilled bool
	ended     bool
	// since is the time of the last token; waited is when the wait was last reported.
	since  time.Time
	waited time.Time
	// stage is the place in the route that the next token waits for, as far as is known.
	stage int
}

// startStream begins a stream for a daemon.
func (e *Engine) startStream(x *serve.Exchange) {
	start := &engine.StreamRequest{}
	if !x.Decode(start) {
		return
	}
	stream := x.Stream(mediaTypeLines)
	state, refusal := e.open(start, 0, nil)
	if refusal != engine.RefusalNone {
		e.write(stream, &engine.Event{Kind: engine.EventRefused, Attempt: start.Attempt, Engine: e.settings.ID, Refusal: refusal})
		e.finish(stream)
		return
	}
	d := &driver{start: start, state: state, stream: stream, since: e.timer.Now()}
	d.tokens = append(append(d.tokens, start.Prompt...), start.Delivered...)
	e.drivers[start.Stream] = d
	x.OnClose(func() { e.do(func() { e.abandon(d) }) })
	if len(start.Delivered) >= start.MaxTokens {
		e.complete(d)
		return
	}
	e.begin(state)
}

// fill queues the inputs that the first stage has not run.
func (d *driver) fill() {
	for position := d.state.have() + len(d.state.inbox); position < len(d.tokens); position++ {
		d.state.inbox = append(d.state.inbox, digest.Embed(d.state.model, d.tokens[position]))
	}
}

// sampled takes the next token of a stream; all others are late or crossed.
func (e *Engine) sampled(s *stage.Sampled) {
	d := e.drivers[s.Stream]
	if d == nil || d.start.Attempt != s.Attempt || s.Position != len(d.tokens) {
		return
	}
	if !d.prefilled {
		d.prefilled = true
		e.write(d.stream, &engine.Event{Kind: engine.EventPrefilled, Attempt: s.Attempt})
	}
	d.tokens = append(d.tokens, s.Token)
	d.since = e.timer.Now()
	d.waited = time.Time{}
	d.stage = 0
	position := s.Position - len(d.start.Prompt)
	e.write(d.stream, &engine.Event{Kind: engine.EventToken, Attempt: s.Attempt, Position: position, Token: s.Token})
	if position+1 >= d.start.MaxTokens {
		e.complete(d)
		return
	}
	d.fill()
}

func (e *Engine) complete(d *driver) {
	e.endDriver(d, &engine.Event{Kind: engine.EventDone, Position: len(d.tokens) - len(d.start.Prompt)})
}

// endDriver sends the last event and ends the stream at all stages.
func (e *Engine) endDriver(d *driver, last *engine.Event) {
	if d.ended {
		return
	}
	d.ended = true
	if last != nil {
		last.Attempt = d.start.Attempt
		e.write(d.stream, last)
	}
	e.finish(d.stream)
	if e.drivers[d.start.Stream] == d {
		delete(e.drivers, d.start.Stream)
	}
	e.stop(d.state)
}

// abandon ends a stream whose daemon has gone.
func (e *Engine) abandon(d *driver) {
	e.endDriver(d, nil)
}

// cancelStream answers DELETE /v1/streams/{id}?attempt=N.
func (e *Engine) cancelStream(x *serve.Exchange, reference stage.Reference) {
	e.attempts.note(reference.Stream, reference.Attempt, true)
	if d := e.drivers[reference.Stream]; d != nil && d.start.Attempt <= reference.Attempt {
		e.endDriver(d, nil)
	}
	for key, state := range e.states {
		if key.stream == reference.Stream && state.start.Attempt <= reference.Attempt {
			e.stop(state)
		}
	}
	x.ReplyEmpty(http.StatusNoContent)
}

// write sends one event, later when that fault is set.
func (e *Engine) write(stream *serve.Stream, event *engine.Event) {
	line, err := json.Marshal(event)
	if err != nil {
		return
	}
	line = append(line, '\n')
	e.send(func() { stream.Write(line) })
}

func (e *Engine) finish(stream *serve.Stream) {
	e.send(stream.End)
}

func (e *Engine) send(call func()) {
	if e.faults.LateMillis == 0 {
		call()
		return
	}
	e.after(time.Duration(e.faults.LateMillis)*time.Millisecond, call)
}

// progress notes how far the awaited position has come.
func (d *driver) progress(p *stage.Progress) {
	if p.Position == len(d.tokens)-1 {
		d.stage = max(d.stage, min(p.Stage+1, len(d.start.Route)-1))
	}
}

// checkWaiting reports the streams that wait long for a stage.
func (e *Engine) checkWaiting() {
	now := e.timer.Now()
	for _, d := range e.drivers {
		waited := now.Sub(d.since)
		own := d.state.importing || len(d.state.inbox) > 0
		if waited >= waitCheckPeriod && !own && !d.state.last() {
			d.stage = max(d.stage, 1)
			e.probe(d.state, len(d.tokens)-1)
		}
		if own {
			d.stage = 0
		}
		if waited >= waitingAfter && now.Sub(d.waited) >= waitingPeriod {
			d.waited = now
			e.write(d.stream, &engine.Event{
				Kind: engine.EventWaiting, Attempt: d.start.Attempt, Position: len(d.tokens) - len(d.start.Prompt),
				Engine: d.start.Route[d.stage].Engine, WaitedMillis: waited.Milliseconds(),
			})
		}
	}
}
