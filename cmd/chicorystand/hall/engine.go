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

// EngineFaults is what an endpoint is told to do wrong.
type EngineFaults struct {
	// Dead closes every connection, Silent answers nothing more.
	Dead   bool `json:"dead"`
	Silent bool `json:"silent"`
	// Slow multiplies the time of its work.
	Slow float64 `json:"slow"`
	// CutEvery closes the connection in the middle of every so many answers.
	CutEvery int `json:"cutEvery"`
}

// Engine is one endpoint.
type Engine struct {
	world    *World
	settings EngineSettings

	mu       sync.Mutex
	born     int64
	from, to int
	loading  bool
	leaving  bool
	sequence int64
	running  int
	// used is the memory of running requests in bytes.
	used    float64
	answers int
	faults  EngineFaults
}

// hop is one stage of a path.
type hop struct {
	engine   *Engine
	from, to int
}

// entry is what the endpoint writes of itself.
func (e *Engine) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	if e.leaving {
		state = "draining"
	}
	written := map[string]any{
		"service": e.settings.Service, "address": e.settings.Address, "zone": e.settings.Domain, "version": "v1",
		"slots": e.settings.Slots, "state": state, "coldRemainingMs": 0, "born": e.born, "sequence": e.sequence,
	}
	if e.settings.Kind != "" {
		written["kind"] = e.settings.Kind
		written["models"] = []map[string]any{{"name": e.world.settings.Model.Name, "version": 1, "adapters": []string{}}}
		written["layers"] = nil
		if e.to > e.from {
			written["layers"] = map[string]int{"from": e.from, "to": e.to, "version": 1}
		}
	}
	return written
}

// list writes the endpoint's entry.
func (e *Engine) list() error { return e.world.store.Put("servers", e.settings.ID, e.entry()) }

// Crash ends everything that runs and makes the endpoint start again empty after a time.
func (e *Engine) Crash(after time.Duration) {
	e.mu.Lock()
	e.faults.Dead = true
	e.from, e.to, e.sequence, e.running, e.used = 0, 0, 0, 0, 0
	e.mu.Unlock()
	e.world.after(lapseTime, func() {
		if e.isDead() {
			e.world.store.Drop("servers", e.settings.ID)
		}
	})
	e.world.after(after, func() {
		e.mu.Lock()
		e.faults, e.born, e.loading = EngineFaults{}, time.Now().UnixMilli(), false
		e.mu.Unlock()
		e.world.fail(e.list())
	})
}

func (e *Engine) isDead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Dead || e.faults.Silent
}

// Leave lists the endpoint as draining.
func (e *Engine) Leave() error {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	return e.list()
}

// SetFaults replaces what the endpoint does wrong.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// ServeHTTP answers callers, orders and reports.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	faults := e.faults
	e.mu.Unlock()
	switch {
	case faults.Dead:
		panic(http.ErrAbortHandler)
	case faults.Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.settings.ID {
		w.Header().Set("Instance-Id", e.settings.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		e.report(w)
	case "/-/order":
		e.order(w, r)
	default:
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		if e.settings.Kind == "" {
			e.servePlain(w, r)
		} else {
			e.serveStream(w, r)
		}
	}
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": "unified", "busy": e.loading, "sequence": e.sequence, "waiting": 0, "running": e.running,
	})
}

// placement is the body of an order.
type placement struct {
	Op       string `json:"op"`
	From     int    `json:"from"`
	To       int    `json:"to"`
	Sequence *int64 `json:"precondition"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var asked placement
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil || asked.Op != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	model := e.world.settings.Model
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case asked.Sequence != nil && *asked.Sequence != e.sequence || e.loading:
		w.WriteHeader(http.StatusConflict)
	case asked.From == e.from && asked.To == e.to:
		w.WriteHeader(http.StatusOK)
	default:
		if float64(asked.To-asked.From)*model.LayerBytes > e.settings.MemoryBytes {
			e.world.ledger.add(Run{Engine: e.settings.ID, Wrong: "an order exceeds the memory"})
		}
		e.sequence++
		e.loading = true
		born := e.born
		share := float64(asked.To-asked.From) / float64(model.Layers)
		e.world.after(time.Duration(share*model.LoadMillis*float64(time.Millisecond)), func() { e.loaded(asked, born) })
		w.WriteHeader(http.StatusAccepted)
	}
}

// loaded ends a load, unless the endpoint has started again meanwhile.
func (e *Engine) loaded(asked placement, born int64) {
	e.mu.Lock()
	isSame := e.born == born && !e.faults.Dead
	if isSame {
		e.from, e.to, e.loading = asked.From, asked.To, false
	}
	e.mu.Unlock()
	if isSame {
		e.world.fail(e.list())
	}
}

// begin takes a slot; false means that the endpoint is full or leaving.
func (e *Engine) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.settings.Slots || e.leaving {
		return false
	}
	e.running++
	return true
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = max(0, e.running-1)
}

// notRun refuses a request that no engine has run.
func notRun(w http.ResponseWriter, status int, fault *Engine) {
	w.Header().Set("Not-Executed", "1")
	if fault != nil {
		w.Header().Set("At-Server", fault.settings.Address)
	}
	w.WriteHeader(status)
}

// sign adds what every whole answer carries.
func (e *Engine) sign(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Server-Seal", e.settings.ID+"."+r.Header.Get("Request-Id"))
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", e.running, e.settings.Slots))
}

// mustCut tells whether the answer that begins now is to be cut off.
func (e *Engine) mustCut() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
	return e.faults.CutEvery > 0 && e.answers%e.faults.CutEvery == 0
}

// slowed multiplies a time by the endpoint's slowness.
func (e *Engine) slowed(millis float64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Slow > 0 {
		millis *= e.faults.Slow
	}
	return time.Duration(millis * float64(time.Millisecond))
}

func (e *Engine) servePlain(w http.ResponseWriter, r *http.Request) {
	if !e.begin() {
		notRun(w, http.StatusServiceUnavailable, nil)
		return
	}
	defer e.end()
	id := r.Header.Get("Request-Id")
	e.world.ledger.add(Run{Request: id, Engine: e.settings.ID, Wrong: wrongHeaders(r)})
	select {
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-time.After(e.slowed(e.settings.WorkMillis)):
	}
	body := "answer to " + id
	e.sign(w, r)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if e.mustCut() {
		body = body[:len(body)/2]
	}
	_, _ = w.Write([]byte(body)) // A caller that has left needs no answer.
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	if e.isDead() || len(body) < len("answer to "+id) {
		panic(http.ErrAbortHandler)
	}
}

// wrongHeaders tells what an endpoint must never see.
func wrongHeaders(r *http.Request) string {
	if r.Header.Get("Api-Key") != "" {
		return "the credential was passed on"
	}
	if left, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err != nil || left <= 0 {
		return "no time is stated"
	}
	return ""
}

// path reads the stages of a request and checks that they hold their layers.
func (e *Engine) path(r *http.Request) ([]hop, *Engine, error) {
	var hops []hop
	reached := 0
	for part := range strings.SplitSeq(r.Header.Get("Hop-Count"), ",") {
		address, layers, _ := strings.Cut(part, "=")
		engine := e.world.byAddress(address)
		var from, to int
		if _, err := fmt.Sscanf(layers, "%d-%d", &from, &to); err != nil {
			return nil, nil, errors.Errorf("the stage %q is none", part)
		}
		if from != reached || to <= from {
			return nil, nil, errors.Errorf("layers [%d,%d) follow layer %d", from, to, reached)
		}
		reached = to
		if engine == nil || !engine.holds(from, to) {
			return nil, engine, nil
		}
		hops = append(hops, hop{engine: engine, from: from, to: to})
	}
	if reached != e.world.settings.Model.Layers || hops[0].engine != e {
		return nil, nil, errors.Errorf("the path ends at layer %d", reached)
	}
	return hops, nil, nil
}

func (e *Engine) holds(from, to int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.faults.Dead && e.from <= from && to <= e.to
}
