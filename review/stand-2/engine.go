package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crashTime is how long a crashed engine is down.
	crashTime = 4500 * time.Millisecond
	// expiryTime is when the entry of a silent engine is removed: three ping intervals.
	expiryTime = 3600 * time.Millisecond
	// poisonPath begins the paths of the requests that crash each engine which begins to run them.
	poisonPath = "/crash/"
)

// pingPeriod is the time between two pings of an engine. Its entry is removed expiryTime after the last one.
const pingPeriod = 1200 * time.Millisecond

// engine is a stand-in of a VM of a plain service.
type engine struct {
	name    string
	service string
	zone    string
	slots   int
	queue   int
	work    time.Duration
	store   *store
	record  *record
	// goesDark is set if the VM ends with the engine when that crashes, so that its address is silent until it is back.
	goesDark bool

	mu       sync.Mutex
	pingedAt time.Time
	address  string
	id       string
	starts   int
	sequence int
	born     int64
	leaving  bool
	running  int
	server   *http.Server
	conns    map[net.Conn]bool
}

// start starts the engine at its address, which is a new one the first time, under a new id.
func (e *engine) start() error {
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.starts++
	e.address, e.id, e.born = listener.Addr().String(), fmt.Sprintf("i-%s-%d", e.name, e.starts), time.Now().UnixMilli()
	e.running, e.leaving, e.conns = 0, false, make(map[net.Conn]bool)
	e.pingedAt = time.Now().Add(-time.Duration(rand.Float64() * float64(pingPeriod)))
	server := &http.Server{Handler: http.HandlerFunc(e.handle), ConnState: e.noteConn}
	e.server = server
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	e.list()
	return nil
}

// noteConn keeps the open channels.
func (e *engine) noteConn(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, conn)
	}
}

// list writes the engine's entry.
func (e *engine) list() time.Time {
	e.mu.Lock()
	state := "ready"
	if e.leaving {
		state = "draining"
	}
	e.sequence++
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state,
		wire("cold"): 0, "sequence": e.sequence, "born": e.born,
	}
	id := e.id
	e.mu.Unlock()
	return e.store.put("servers", id, entry)
}

// drain reports that the engine leaves, and returns when the store has acknowledged that.
func (e *engine) drain() time.Time {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	return e.list()
}

// stop ends the engine and removes its entry.
func (e *engine) stop() {
	e.mu.Lock()
	server, id := e.server, e.id
	e.mu.Unlock()
	_ = server.Close()
	e.store.drop("servers", id)
}

// crash ends the engine at once. Its entry is removed after three ping intervals. It starts again after some seconds.
func (e *engine) crash() {
	e.mu.Lock()
	server, id, conns, address := e.server, e.id, e.conns, e.address
	e.conns = make(map[net.Conn]bool)
	sincePing := time.Since(e.pingedAt) % pingPeriod
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	e.mu.Unlock()
	_ = server.Close()
	e.record.printf("engine %s crashed, %d ms after its last ping", id, sincePing.Milliseconds())
	light := func() {}
	if e.goesDark {
		var err error
		if light, err = darken(address); err != nil {
			e.record.printf("the address of engine %s is not silent: %v", id, err)
		}
	}
	time.AfterFunc(expiryTime-sincePing, func() {
		e.store.drop("servers", id)
		e.record.printf("the entry of engine %s is removed", id)
	})
	time.AfterFunc(crashTime, func() {
		light()
		if err := e.start(); err != nil {
			e.record.printf("engine %s did not start again: %v", e.name, err)
			return
		}
		e.record.printf("engine %s started as %s", e.name, e.id)
	})
}

func (e *engine) handle(w http.ResponseWriter, r *http.Request) {
	body := make([]byte, 0, 512)
	buffer := make([]byte, 4096)
	for {
		n, err := r.Body.Read(buffer)
		body = append(body, buffer[:n]...)
		if err != nil {
			break
		}
	}
	e.mu.Lock()
	id, leaving := e.id, e.leaving
	e.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get(wire("expect")); expected != "" && expected != id {
		w.Header().Set(wire("instance"), id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set(wire("instance"), id)
		return
	}
	request := r.Header.Get("Request-Id")
	e.record.arrived(request, id, r)
	if !e.begin() {
		w.Header().Set(wire("notrun"), "1")
		w.Header().Set("Request-Id", request)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.HasPrefix(r.URL.Path, poisonPath) {
		e.crash()
		return
	}
	time.Sleep(e.work)
	running := e.end()
	w.Header().Set("Request-Id", request)
	w.Header().Set(wire("seal"), "seal-"+id+"-"+request)
	w.Header().Set(wire("load"), fmt.Sprintf("%d,0,%d", running, e.slots))
	_, _ = fmt.Fprintf(w, "answer of %s to %s, %d bytes\n", id, request, len(body))
}

// begin takes a slot, or a place in the queue, which is served at once here.
func (e *engine) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.slots+e.queue {
		return false
	}
	e.running++
	return true
}

func (e *engine) end() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = max(0, e.running-1)
	return e.running
}
