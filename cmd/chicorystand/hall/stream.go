package hall

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// serveStream runs a request over a path and sends its events.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	hops, fault, err := e.path(r)
	if err != nil {
		e.world.ledger.add(Run{Request: id, Engine: e.settings.ID, Wrong: err.Error()})
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(hops) == 0 {
		notRun(w, http.StatusMisdirectedRequest, fault)
		return
	}
	if !e.begin() {
		notRun(w, http.StatusServiceUnavailable, e)
		return
	}
	defer e.end()
	prompt, answer := sizes(r)
	if full := e.world.reserve(hops, prompt+answer); full != nil {
		notRun(w, http.StatusServiceUnavailable, full)
		return
	}
	defer e.world.release(hops, prompt+answer)
	e.world.ledger.add(Run{Request: id, Engine: e.settings.ID, Behind: r.Header.Get("Last-Event-Id"), Wrong: wrongHeaders(r)})
	e.stream(w, r, hops, prompt, answer)
}

// sizes returns the tokens of the prompt and of the answer.
func sizes(r *http.Request) (prompt, answer int) {
	first, second, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	prompt, _ = strconv.Atoi(first)  // A request without sizes has none.
	answer, _ = strconv.Atoi(second) // The same.
	return prompt, answer
}

// EventText is the text of one event of a request's answer.
func EventText(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", number, id, number)
}

// EventsOf returns the number of events of an answer with so many tokens.
func EventsOf(tokens, tokensPerEvent int) int { return (tokens + tokensPerEvent - 1) / tokensPerEvent }

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, hops []hop, prompt, answer int) {
	model := e.world.settings.Model
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // Without it the answer begins at the first event.
	cut := e.mustCut()
	if !e.pause(r, hops, float64(prompt)/model.ReadPerSecond*1000) {
		panic(http.ErrAbortHandler)
	}
	e.sign(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	last := EventsOf(answer, model.TokensPerEvent)
	for number := first + 1; number <= last; number++ {
		if !e.pause(r, hops, float64(model.TokensPerEvent)*e.stepMillis(hops)) {
			panic(http.ErrAbortHandler)
		}
		text := EventText(r.Header.Get("Request-Id"), number)
		isCut := cut && number > (first+last)/2
		if isCut {
			text = text[:len(text)/2]
		}
		_, err := w.Write([]byte(text))
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		if err != nil || isCut {
			panic(http.ErrAbortHandler)
		}
	}
}

// stepMillis is the time of one token over all stages.
func (e *Engine) stepMillis(hops []hop) float64 {
	model := e.world.settings.Model
	total := 0.0
	for _, h := range hops {
		h.engine.mu.Lock()
		share := float64(h.to-h.from) / float64(model.Layers)
		total += share * h.engine.settings.Pace * (model.StepMillis + model.PerRequestMillis*float64(h.engine.running))
		h.engine.mu.Unlock()
	}
	return total
}

// pause waits for work on all stages; false means that the caller has left or a stage has failed for
// longer than the engines wait.
func (e *Engine) pause(r *http.Request, hops []hop, millis float64) bool {
	wait := time.Duration(0)
	for _, h := range hops {
		wait = max(wait, h.engine.slowed(millis))
	}
	stalled := time.Duration(0)
	for {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(wait):
		}
		if e.isDead() {
			return false
		}
		if !e.world.anyDead(hops) {
			return true
		}
		wait = stallLook
		stalled += wait
		if stalled > time.Duration(e.world.settings.Model.StallMillis*float64(time.Millisecond)) {
			return false
		}
	}
}
