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

// mediaTypeLines is the media type of a stream of JSON values, one per line.
const mediaTypeLines = "application/x-ndjson"

// driver runs one stream at the first engine of its route.
type driver struct {
	start  *engine.StreamRequest
	state  *stageState
	stream *serve.Stream
	// tokens are the tokens of the prompt and of the answer so far.
	tokens    []digest.Token
	prefilled bool
	ended     bool
	// lastTokenAt is the time of the last token. waitReportedAt is the time when a wait was last reported.
	lastTokenAt    time.Time
	waitReportedAt time.Time
	// waitingFor is the index of the hop that the next token waits for, as far as is known.
	waitingFor int
}

// startStream starts a stream for a daemon.
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
	d := &driver{start: start, state: state, stream: stream, lastTokenAt: e.timer.Now()}
	d.tokens = append(append(d.tokens, start.Prompt...), start.Tokens...)
	e.drivers[start.Stream] = d
	x.OnClose(func() { e.do(func() { e.abandon(d) }) })
	if len(start.Tokens) >= start.MaxTokens {
		e.complete(d)
		return
	}
	e.requestInputs(state)
}

// queueInputs queues the inputs that the first stage has not run.
func (d *driver) queueInputs() {
	for position := d.state.heldPositions() + len(d.state.inputs); position < len(d.tokens); position++ {
		d.state.inputs = append(d.state.inputs, digest.Embed(d.state.model, d.tokens[position]))
	}
}

// receiveToken handles the next token of a stream. It ignores tokens of other attempts and repeated ones.
func (e *Engine) receiveToken(s *stage.SampledToken) {
	d := e.drivers[s.Stream]
	if d == nil || d.start.Attempt != s.Attempt || s.Position != len(d.tokens) {
		return
	}
	if !d.prefilled {
		d.prefilled = true
		e.write(d.stream, &engine.Event{Kind: engine.EventPrefilled, Attempt: s.Attempt})
	}
	d.tokens = append(d.tokens, s.Token)
	d.lastTokenAt = e.timer.Now()
	d.waitReportedAt = time.Time{}
	d.waitingFor = 0
	position := s.Position - len(d.start.Prompt)
	e.write(d.stream, &engine.Event{Kind: engine.EventToken, Attempt: s.Attempt, Position: position, Token: s.Token})
	if position+1 >= d.start.MaxTokens {
		e.complete(d)
		return
	}
	d.queueInputs()
}

// complete ends a stream whose answer is complete.
func (e *Engine) complete(d *driver) {
	e.endDriver(d, &engine.Event{Kind: engine.EventDone, Position: len(d.tokens) - len(d.start.Prompt)})
}

// endDriver sends the last event, if there is one, ends the response, and ends the stream at all stages.
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

// abandon ends a stream whose daemon has closed the connection.
func (e *Engine) abandon(d *driver) {
	e.endDriver(d, nil)
}

// cancelStream answers DELETE /v1/streams/{id}?attempt=N.
func (e *Engine) cancelStream(x *serve.Exchange, reference stage.Reference) {
	e.attempts.record(reference.Stream, reference.Attempt, true)
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

// write sends one event to the daemon.
func (e *Engine) write(stream *serve.Stream, event *engine.Event) {
	line, err := json.Marshal(event)
	if err != nil {
		return
	}
	line = append(line, '\n')
	e.send(func() { stream.Write(line) })
}

// finish ends the response of a stream.
func (e *Engine) finish(stream *serve.Stream) {
	e.send(stream.End)
}

// send runs a call that writes to a stream, after the delay set by the fault LateMillis.
func (e *Engine) send(call func()) {
	if e.faults.LateMillis == 0 {
		call()
		return
	}
	e.after(time.Duration(e.faults.LateMillis)*time.Millisecond, call)
}

// recordProgress records that a stage has sent its output for a position. If the driver waits for that position, it now
// waits for a later stage: the next one, unless it is known to wait for one further on.
func (d *driver) recordProgress(p *stage.Progress) {
	if p.Position == len(d.tokens)-1 {
		d.waitingFor = max(d.waitingFor, min(p.Index+1, len(d.start.Route)-1))
	}
}

// checkWaiting reports streams that have been waiting for a stage for some time. While the first stage has nothing to
// do, it probes the other stages to find out which one the stream waits for.
func (e *Engine) checkWaiting() {
	now := e.timer.Now()
	for _, d := range e.drivers {
		waited := now.Sub(d.lastTokenAt)
		firstBusy := d.state.importing || len(d.state.inputs) > 0
		if waited >= waitCheckPeriod && !firstBusy && !d.state.isLast() {
			d.waitingFor = max(d.waitingFor, 1)
			e.probe(d.state, len(d.tokens)-1)
		}
		if firstBusy {
			d.waitingFor = 0
		}
		if waited >= minReportedWait && now.Sub(d.waitReportedAt) >= waitReportPeriod {
			d.waitReportedAt = now
			e.write(d.stream, &engine.Event{
				Kind: engine.EventWaiting, Attempt: d.start.Attempt, Position: len(d.tokens) - len(d.start.Prompt),
				Engine: d.start.Route[d.waitingFor].Engine, WaitedMillis: waited.Milliseconds(),
			})
		}
	}
}
