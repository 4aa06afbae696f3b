package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a stand-in of an engine of a plain service: slots, a queue in the order of arrival, and time budgets.
type engine struct {
	id, service, zone string
	address           string
	slots, queue      int
	work              time.Duration
	// workOf returns how long a request runs, if it is set, instead of work.
	workOf func(*http.Request) time.Duration
	// answerBytes is the length of an answer's body.
	answerBytes int
	record      *record
	server      *http.Server

	mu      sync.Mutex
	running int
	waiting []*waiter
	// runs counts how often each request has begun to run, by its Request-Id.
	runs map[string]int
	// answered holds the requests whose whole answer has been written.
	answered map[string]bool
	// rejectedAt and begunAt are when the engine has rejected a request, or begun to run it.
	rejectedAt, begunAt map[string]time.Time
	// slowFactor multiplies the time for which requests run.
	slowFactor int
	// sequence counts the pings.
	sequence int64
}

// setSlow sets the factor of the time for which requests run.
func (e *engine) setSlow(factor int) {
	e.mu.Lock()
	e.slowFactor = factor
	e.mu.Unlock()
}

// timeFor returns how long a request runs that begins now.
func (e *engine) timeFor(r *http.Request) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	work := e.work
	if e.workOf != nil {
		work = e.workOf(r)
	}
	return work * time.Duration(e.slowFactor)
}

// waiter is a request in the queue.
type waiter struct {
	begin chan struct{}
	begun bool
}

func newEngine(id, service, zone string, slots, queue int, work time.Duration, r *record) *engine {
	e := &engine{
		id: id, service: service, zone: zone, slots: slots, queue: queue, work: work, record: r, runs: make(map[string]int), answered: make(map[string]bool),
		rejectedAt: make(map[string]time.Time), begunAt: make(map[string]time.Time), slowFactor: 1,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	e.address = listener.Addr().String()
	e.server = &http.Server{Handler: http.HandlerFunc(e.handle)}
	go func() { _ = e.server.Serve(listener) }()
	return e
}

// noteAnswered records that the whole answer to a request has been written.
func (e *engine) noteAnswered(id string) {
	e.mu.Lock()
	e.answered[id] = true
	e.mu.Unlock()
}

func (e *engine) stop() { _ = e.server.Close() }

// entry returns what the engine writes to the store.
func (e *engine) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
		"@coldMs": 0, "sequence": e.sequence, "born": begun.UnixMilli(),
	}
}

// hasAnswered reports whether the whole answer to a request has been written.
func (e *engine) hasAnswered(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answered[id]
}

func (e *engine) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// reject answers that the request has not run.
func (e *engine) reject(w http.ResponseWriter, status int) {
	w.Header().Set(wire("@notRun"), "1")
	w.WriteHeader(status)
}

func (e *engine) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set(wire("@instance"), e.id)
	w.Header().Set("Keep-Alive", "timeout=15")
	if expected := r.Header.Get(wire("@expected")); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		e.reject(w, http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	left, err := strconv.ParseFloat(r.Header.Get(wire("@deadline")), 64)
	if err != nil {
		left = 60_000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(left*float64(time.Millisecond)))
	defer cancel()
	if !e.awaitSlot(ctx) {
		if r.Context().Err() == nil {
			e.mu.Lock()
			e.rejectedAt[id] = time.Now()
			e.mu.Unlock()
			e.reject(w, http.StatusServiceUnavailable)
		}
		return
	}
	defer e.release()
	e.mu.Lock()
	e.runs[id]++
	e.begunAt[id] = time.Now()
	isQuiet := e.workOf != nil
	e.mu.Unlock()
	if !isQuiet {
		e.record.add("engine %s begins %s with %s ms left", e.id, id, r.Header.Get(wire("@deadline")))
	}
	select {
	case <-time.After(e.timeFor(r)):
		w.Header().Set(wire("@seal"), "seal."+id)
		body := bytes.Repeat([]byte{'x'}, max(20, e.answerBytes))
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(http.StatusOK)
		if r.Method == http.MethodHead {
			return
		}
		if _, err := w.Write(body); err == nil && http.NewResponseController(w).Flush() == nil {
			e.noteAnswered(id)
			if e.workOf == nil {
				e.record.add("engine %s has answered %s with 200 and %d bytes", e.id, id, len(body))
			}
		}
	case <-ctx.Done():
		if r.Context().Err() == nil {
			w.Header().Set(wire("@seal"), "seal."+id)
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	}
}

// awaitSlot waits in the queue for a slot. It returns false if the queue is full or the time is over before.
func (e *engine) awaitSlot(ctx context.Context) bool {
	e.mu.Lock()
	if e.running < e.slots {
		e.running++
		e.mu.Unlock()
		return true
	}
	if len(e.waiting) >= e.queue {
		e.mu.Unlock()
		return false
	}
	one := &waiter{begin: make(chan struct{})}
	e.waiting = append(e.waiting, one)
	e.mu.Unlock()
	select {
	case <-one.begin:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if one.begun { // It has just got the slot of another one, which goes to the next.
		e.next()
		return false
	}
	for i, other := range e.waiting {
		if other == one {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	return false
}

func (e *engine) release() {
	e.mu.Lock()
	e.next()
	e.mu.Unlock()
}

// next gives a slot that has become free to the next request.
func (e *engine) next() {
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	one := e.waiting[0]
	e.waiting = e.waiting[1:]
	one.begun = true
	close(one.begin)
}
