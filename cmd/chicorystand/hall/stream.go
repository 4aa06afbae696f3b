package hall

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// serveStream runs a request over its route and sends its events.
func (e *Endpoint) serveStream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	poison := e.readPoison(r)
	hops, culprit, err := e.parseRoute(r.Header.Get("Hop-Count"))
	if err != nil {
		e.platform.ledger.add(LedgerEntry{Request: id, Endpoint: e.settings.ID, Wrong: err.Error()})
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(hops) == 0 {
		refuseWithoutRunning(w, http.StatusMisdirectedRequest, culprit)
		return
	}
	if !e.acquireSlot() {
		refuseWithoutRunning(w, http.StatusServiceUnavailable, e)
		return
	}
	defer e.releaseSlot()
	prompt, answer := tokenCounts(r)
	if full := e.platform.reserve(hops, prompt+answer); full != nil {
		refuseWithoutRunning(w, http.StatusServiceUnavailable, full)
		return
	}
	route := e.addRoute(id, hops, prompt+answer)
	defer e.removeRoute(id, route)
	e.platform.ledger.add(LedgerEntry{Request: id, Endpoint: e.settings.ID, Behind: r.Header.Get("Last-Event-Id"), Wrong: wrongHeaders(r)})
	e.stream(w, r, poison, route, prompt, answer)
}

// tokenCounts returns the numbers of tokens of the prompt and of the answer, as stated in the request's header.
func tokenCounts(r *http.Request) (prompt, answer int) {
	first, second, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	prompt, _ = strconv.Atoi(first)  // 0 if it is not stated
	answer, _ = strconv.Atoi(second) // 0 if it is not stated
	return prompt, answer
}

// EventText returns the server-sent event with the given number of a request's answer.
func EventText(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", number, id, number)
}

// EventsOf returns the number of events of an answer with the given number of tokens.
func EventsOf(tokens, tokensPerEvent int) int { return (tokens + tokensPerEvent - 1) / tokensPerEvent }

// stream sends the answer's events at the simulated speed, starting after the event named in Last-Event-Id.
func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, poison *poison, route *liveRoute, prompt, answer int) {
	model := e.platform.settings.Model
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 for a new stream
	cutAnswer := e.shouldCut(e.countAnswer())
	if !e.work(r, route, float64(prompt)/model.ReadPerSecond*1000) || !awaitResume(r.Context(), route.engines()...) {
		panic(http.ErrAbortHandler)
	}
	e.setAnswerHeaders(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	last := EventsOf(answer, model.TokensPerEvent)
	for number := first + 1; number <= last; number++ {
		if !e.work(r, route, float64(model.TokensPerEvent)*e.stepMillis(route.current())) {
			panic(http.ErrAbortHandler)
		}
		engines := route.engines()
		if poison.onEvent(number, engines) {
			panic(http.ErrAbortHandler)
		}
		if number%2 == 0 && !awaitResume(r.Context(), engines...) {
			panic(http.ErrAbortHandler)
		}
		text := EventText(r.Header.Get("Request-Id"), number)
		cutHere := cutAnswer && number > (first+last)/2
		if cutHere {
			text = text[:len(text)/2]
		}
		if err := sendThroughPause(r.Context(), w, text, engines...); err != nil || cutHere {
			panic(http.ErrAbortHandler)
		}
	}
}

func enginesOf(hops []hop) []*Endpoint {
	engines := make([]*Endpoint, 0, len(hops))
	for _, h := range hops {
		engines = append(engines, h.engine)
	}
	return engines
}

// stepMillis returns the time for one token over all stages, in milliseconds.
func (e *Endpoint) stepMillis(hops []hop) float64 {
	model := e.platform.settings.Model
	total := 0.0
	for _, h := range hops {
		h.engine.mu.Lock()
		share := float64(h.to-h.from) / float64(model.Layers)
		total += share * h.engine.settings.Pace * (model.StepMillis + model.PerRequestMillis*float64(h.engine.running))
		h.engine.mu.Unlock()
	}
	return total
}

// work simulates work on all stages by waiting. The receiver e is the first engine of the route. If another engine has
// failed, work waits until it works again. It returns false if the caller has disconnected, if e itself has failed, or if
// it has waited for failed engines for more than StallMillis.
func (e *Endpoint) work(r *http.Request, route *liveRoute, millis float64) bool {
	wait := time.Duration(0)
	for _, h := range route.current() {
		wait = max(wait, h.engine.slowed(millis))
	}
	stalled := time.Duration(0)
	for {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(wait):
		}
		if e.isUnresponsive() {
			return false
		}
		if !e.platform.anyFailed(route.current()) {
			return true
		}
		wait = stallPollPeriod
		stalled += wait
		if stalled > time.Duration(e.platform.settings.Model.StallMillis*float64(time.Millisecond)) {
			return false
		}
	}
}
