package hall

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// EndpointFaults are the faults injected into an endpoint.
type EndpointFaults struct {
	// Dead closes every connection. Silent leaves all requests unanswered.
	Dead   bool `json:"dead"`
	Silent bool `json:"silent"`
	// Slow multiplies the time for each request.
	Slow float64 `json:"slow"`
	// CutEvery closes the connection in the middle of every CutEvery-th answer.
	CutEvery int `json:"cutEvery"`
	// Limit is the text of the header with which answers name a limit, in requests a second. They name none if it is empty.
	Limit string `json:"limit"`
}

// Endpoint is one simulated endpoint: an engine or a plain endpoint.
type Endpoint struct {
	platform *Platform
	settings EndpointSettings

	mu       sync.Mutex
	restarts int
	born     int64 // time of the last start in Unix milliseconds
	from, to int   // the layers held, without layer to
	loading  bool
	leaving  bool
	sequence int64 // number of orders accepted since the last start
	running  int
	// used is the memory used by running requests in bytes.
	used    float64
	answers int // number of answers started
	faults  EndpointFaults
	// pausedUntil is when the endpoint goes on.
	pausedUntil time.Time
	// unwantedUntil is until when the endpoint wants nothing from the daemon at an IP address.
	unwantedUntil map[string]time.Time
	// routes are those of the requests in progress of which this is the first engine.
	routes map[string]*liveRoute
	// departing is set if answers say that the endpoint is leaving.
	departing bool
}

// hop is one stage of a request's route.
type hop struct {
	engine   *Endpoint
	from, to int
}

// entry returns the row that the endpoint writes to the store to list itself.
func (e *Endpoint) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	if e.leaving {
		state = "draining"
	}
	entry := map[string]any{
		"service": e.settings.Service, "address": e.settings.Address, "zone": e.settings.Domain, "version": "v1",
		"slots": e.settings.Slots, "state": state, "coldRemainingMs": 0, "born": e.born, "sequence": e.sequence,
	}
	if e.settings.Kind != "" {
		entry["kind"] = e.settings.Kind
		entry["models"] = []map[string]any{{"name": e.platform.settings.Model.Name, "version": 1, "adapters": []string{}}}
		entry["layers"] = nil
		if e.to > e.from {
			entry["layers"] = map[string]int{"from": e.from, "to": e.to, "version": 1}
		}
	}
	return entry
}

// register writes the endpoint's entry to the store, which lists it there.
func (e *Endpoint) register() error { return e.platform.store.Put("servers", e.id(), e.entry()) }

// id returns the endpoint's present ID.
func (e *Endpoint) id() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.settings.NewID || e.restarts == 0 {
		return e.settings.ID
	}
	return fmt.Sprintf("%s-%d", e.settings.ID, e.restarts)
}

// bornAt returns when the endpoint's process was started, in Unix milliseconds.
func (e *Endpoint) bornAt() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.born
}

// crashTime returns the time from a crash to the restart.
func (e *Endpoint) crashTime() time.Duration {
	if e.settings.RestartMillis == 0 {
		return crashTime
	}
	return time.Duration(e.settings.RestartMillis * float64(time.Millisecond))
}

// Crash aborts all running requests. The endpoint restarts without layers after downtime. If that is longer than
// lapseTime, its entry is removed from the store after lapseTime. Crash returns false if the endpoint is dead already.
func (e *Endpoint) Crash(downtime time.Duration) bool {
	e.mu.Lock()
	if e.faults.Dead {
		e.mu.Unlock()
		return false
	}
	e.faults.Dead = true
	e.from, e.to, e.sequence, e.running, e.used = 0, 0, 0, 0, 0
	e.pausedUntil = time.Time{}
	clear(e.unwantedUntil)
	e.mu.Unlock()
	id := e.id()
	e.platform.after(lapseTime, func() {
		if e.isUnresponsive() {
			e.platform.store.Drop("servers", id)
		}
	})
	e.platform.after(downtime, func() {
		e.mu.Lock()
		e.restarts++
		e.faults, e.born, e.loading, e.departing = EndpointFaults{}, time.Now().UnixMilli(), false, false
		e.mu.Unlock()
		e.platform.stopOnError(e.register())
	})
	return true
}

func (e *Endpoint) isDead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Dead
}

// isUnresponsive reports whether the faults make the endpoint dead or silent.
func (e *Endpoint) isUnresponsive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Dead || e.faults.Silent
}

// Leave makes the endpoint refuse new requests and lists it as draining.
func (e *Endpoint) Leave() error {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	return e.register()
}

// SetFaults replaces the endpoint's faults.
func (e *Endpoint) SetFaults(faults EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// ServeHTTP handles requests of callers, forwarded by daemons, and the daemons' orders and requests for the load report.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !awaitResume(r.Context(), e) {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	faults := e.faults
	e.mu.Unlock()
	switch {
	case faults.Dead && !e.settings.SilentAfterCrash:
		panic(http.ErrAbortHandler)
	case faults.Silent, faults.Dead:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id() {
		w.Header().Set("Instance-Id", e.id())
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.stateLeaving(w, r)
	switch r.URL.Path {
	case "/-/report":
		e.report(w)
	case "/-/order":
		e.order(w, r)
	default:
		e.platform.requests.add(RequestArrival{
			Endpoint: e.id(), Address: e.settings.Address, Born: e.bornAt(), From: sourceOf(r), AtMillis: time.Now().UnixMilli(),
		})
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		switch {
		case e.refuseWithPause(w, r):
		case e.settings.Kind == "":
			e.servePlain(w, r)
		default:
			e.serveStream(w, r)
		}
	}
}

// report answers with the load report.
func (e *Endpoint) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": "unified", "busy": e.loading, "sequence": e.sequence, "waiting": 0, "running": e.running,
	})
}

// order is the body of an order to hold layers From to To-1, or to move the request with an ID to the engines of a path. If Sequence
// is not nil, the order is valid only if it is the endpoint's current sequence number.
type order struct {
	Op       string `json:"op"`
	From     int    `json:"from"`
	To       int    `json:"to"`
	Sequence *int64 `json:"precondition"`
	Request  string `json:"id"`
	Path     string `json:"path"`
}

// order carries out an order.
func (e *Endpoint) order(w http.ResponseWriter, r *http.Request) {
	var received order
	err := json.NewDecoder(r.Body).Decode(&received)
	switch {
	case err == nil && received.Op == "place":
		e.place(w, received)
	case err == nil && received.Op == "repath":
		e.reroute(w, received)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// place starts to load the layers that an order asks for. It refuses the order during another load, or if the order is
// conditional on a sequence number that is not the current one.
func (e *Endpoint) place(w http.ResponseWriter, order order) {
	model := e.platform.settings.Model
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case order.Sequence != nil && *order.Sequence != e.sequence || e.loading:
		w.WriteHeader(http.StatusConflict)
	case order.From == e.from && order.To == e.to:
		w.WriteHeader(http.StatusOK)
	default:
		if float64(order.To-order.From)*model.LayerBytes > e.settings.MemoryBytes {
			e.platform.ledger.add(LedgerEntry{Endpoint: e.settings.ID, Wrong: "an order exceeds the memory"})
		}
		e.sequence++
		e.loading = true
		born := e.born
		share := float64(order.To-order.From) / float64(model.Layers)
		e.platform.after(time.Duration(share*model.LoadMillis*float64(time.Millisecond)), func() { e.loaded(order, born) })
		w.WriteHeader(http.StatusAccepted)
	}
}

// loaded completes a load, unless the endpoint has crashed or restarted since.
func (e *Endpoint) loaded(order order, born int64) {
	e.mu.Lock()
	isCurrent := e.born == born && !e.faults.Dead
	if isCurrent {
		e.from, e.to, e.loading = order.From, order.To, false
	}
	e.mu.Unlock()
	if isCurrent {
		e.platform.stopOnError(e.register())
	}
}

// acquireSlot takes a slot for a request. It returns false if the endpoint is full or leaving.
func (e *Endpoint) acquireSlot() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.settings.Slots || e.leaving {
		return false
	}
	e.running++
	return true
}

func (e *Endpoint) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = max(0, e.running-1) // Crash resets running while requests are still being handled.
}

// refuseWithoutRunning refuses a request and states in the response that no endpoint has run it. The response names the
// endpoint culprit as the cause, unless it is nil.
func refuseWithoutRunning(w http.ResponseWriter, status int, culprit *Endpoint) {
	w.Header().Set("Not-Executed", "1")
	if culprit != nil {
		w.Header().Set("At-Server", culprit.settings.Address)
	}
	w.WriteHeader(status)
}

// setAnswerHeaders sets the headers that every successful answer has: the IDs of endpoint and request, the load, and the
// limit if there is one.
func (e *Endpoint) setAnswerHeaders(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Server-Seal", e.settings.ID+"."+r.Header.Get("Request-Id"))
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", e.running, e.settings.Slots))
	if e.faults.Limit != "" {
		w.Header().Set("Server-Limit", e.faults.Limit)
	}
}

// countAnswer counts an answer that starts now and returns their number.
func (e *Endpoint) countAnswer() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
	return e.answers
}

// shouldCut reports whether the fault CutEvery cuts off the answer with the given number.
func (e *Endpoint) shouldCut(number int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.CutEvery > 0 && number%e.faults.CutEvery == 0
}

// slowed returns a time in milliseconds, multiplied by the fault Slow.
func (e *Endpoint) slowed(millis float64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Slow > 0 {
		millis *= e.faults.Slow
	}
	return time.Duration(millis * float64(time.Millisecond))
}

func (e *Endpoint) servePlain(w http.ResponseWriter, r *http.Request) {
	poison := e.readPoison(r)
	if !e.acquireSlot() {
		refuseWithoutRunning(w, http.StatusServiceUnavailable, nil)
		return
	}
	defer e.releaseSlot()
	id := r.Header.Get("Request-Id")
	e.platform.ledger.add(LedgerEntry{Request: id, Endpoint: e.settings.ID, Wrong: wrongHeaders(r)})
	select {
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-time.After(e.slowed(e.settings.WorkMillis)):
	}
	if poison.onEvent(crashLaterEvents+1, []*Endpoint{e}) {
		panic(http.ErrAbortHandler)
	}
	body := "answer to " + id
	number := e.countAnswer()
	if number%2 == 0 && !awaitResume(r.Context(), e) {
		panic(http.ErrAbortHandler)
	}
	e.setAnswerHeaders(w, r)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if e.shouldCut(number) {
		body = body[:len(body)/2]
	}
	_ = sendThroughPause(r.Context(), w, body, e) // It fails only if the caller has disconnected.
	// If the endpoint has crashed or become silent meanwhile, the connection is aborted too, after the whole answer.
	if e.isUnresponsive() || len(body) < len("answer to "+id) {
		panic(http.ErrAbortHandler)
	}
}

// wrongHeaders describes what is wrong with the headers of a request: a daemon must remove the caller's credential and
// send the time left until the deadline, a positive number, in the header Deadline-Ms. It returns "" if nothing is wrong.
func wrongHeaders(r *http.Request) string {
	if r.Header.Get("Api-Key") != "" {
		return "the credential was passed on"
	}
	if left, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err != nil || left <= 0 {
		return "no time is stated"
	}
	return ""
}

// parseRoute parses and checks a route, which is a comma-separated list of hops ADDRESS=FROM-TO. It returns one
// of three results: the hops; or, without hops, the first engine of the route that does not hold the layers of its hop,
// which is nil if no endpoint has the hop's address; or an error if the route is invalid.
func (e *Endpoint) parseRoute(text string) ([]hop, *Endpoint, error) {
	var hops []hop
	nextLayer := 0
	for part := range strings.SplitSeq(text, ",") {
		address, layers, _ := strings.Cut(part, "=")
		engine := e.platform.byAddress(address)
		var from, to int
		if _, err := fmt.Sscanf(layers, "%d-%d", &from, &to); err != nil {
			return nil, nil, errors.Errorf("the stage %q is none", part)
		}
		// Each hop has at least one layer and begins at the layer at which the one before ends.
		if from != nextLayer || to <= from {
			return nil, nil, errors.Errorf("layers [%d,%d) follow layer %d", from, to, nextLayer)
		}
		nextLayer = to
		if engine == nil || !engine.holds(from, to) {
			return nil, engine, nil
		}
		hops = append(hops, hop{engine: engine, from: from, to: to})
	}
	// The route must cover all layers and begin at this engine.
	if nextLayer != e.platform.settings.Model.Layers || hops[0].engine != e {
		return nil, nil, errors.Errorf("the path ends at layer %d", nextLayer)
	}
	return hops, nil, nil
}

func (e *Endpoint) holds(from, to int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.faults.Dead && e.from <= from && to <= e.to
}
