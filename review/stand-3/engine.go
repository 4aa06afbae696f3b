package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeat is the time between two writes of an entry; an entry is removed after three of them without one.
	heartbeat = 1200 * time.Millisecond
	// backAfter is how long an engine is down after a crash.
	backAfter = 3 * time.Second
)

// engine is an endpoint of a service. Each of its starts has a new ID.
type engine struct {
	platform *platform
	service  string
	zone     string
	slots    int
	address  string
	serve    func(e *engine, w http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	id      string
	boots   int
	born    int64
	server  *http.Server
	open    map[net.Conn]bool
	running atomic.Int64
	stopped bool
}

// start listens and registers the engine. The address stays the same across restarts.
func (e *engine) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.address = listener.Addr().String()
	e.boots++
	e.born = time.Now().UnixMilli()
	e.id = fmt.Sprintf("i-%s-%s-%d", e.service, strings.ReplaceAll(e.address, ":", "-"), e.boots)
	e.open = make(map[net.Conn]bool)
	e.running.Store(0)
	open := e.open
	server := &http.Server{Handler: e, ConnState: func(conn net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch state {
		case http.StateNew:
			open[conn] = true
		case http.StateClosed, http.StateHijacked:
			delete(open, conn)
		case http.StateActive, http.StateIdle:
		}
	}}
	e.server = server
	go func() { _ = server.Serve(listener) }()
	go e.beat(e.id)
	return nil
}

// entry is what the engine writes to the store.
func (e *engine) entry(id, state string, sequence int) map[string]any {
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state,
		names["cold"]: 0, "sequence": sequence, "born": e.born, "id": id,
	}
}

// beat writes the entry while the engine lives, and removes it three heartbeats after its end.
func (e *engine) beat(id string) {
	for sequence := 1; ; sequence++ {
		e.mu.Lock()
		lives := e.id == id && e.server != nil
		entry := e.entry(id, "ready", sequence)
		e.mu.Unlock()
		if !lives {
			break
		}
		e.platform.store.put("servers", id, entry)
		time.Sleep(heartbeat)
	}
	time.Sleep(2 * heartbeat)
	e.platform.store.drop("servers", id)
}

// crash ends the engine as a kill of its process does, and starts it again after a time.
func (e *engine) crash() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	var open []net.Conn
	for conn := range e.open {
		open = append(open, conn)
	}
	e.mu.Unlock()
	if server == nil {
		return
	}
	for _, conn := range open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	_ = server.Close()
	time.AfterFunc(backAfter, func() {
		e.mu.Lock()
		stopped := e.stopped
		e.mu.Unlock()
		if !stopped {
			_ = e.start()
		}
	})
}

// stop ends the engine for good.
func (e *engine) stop() {
	e.mu.Lock()
	server := e.server
	e.server, e.stopped = nil, true
	e.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// ServeHTTP checks what every engine checks and runs the request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	header := w.Header()
	if r.URL.Path == "/health" {
		header.Set(names["instance"], id)
		return
	}
	header.Set("Request-Id", r.Header.Get("Request-Id"))
	if expected := r.Header.Get(names["expected"]); expected != "" && expected != id {
		header.Set(names["instance"], id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	running := e.running.Add(1)
	defer e.running.Add(-1)
	if running > int64(e.slots) {
		header.Set(names["notRun"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	header.Set(names["load"], fmt.Sprintf("%d,0,%d", running, e.slots))
	header.Set(names["seal"], "seal."+id+"."+r.Header.Get("Request-Id"))
	e.platform.ran.Store(r.Header.Get("Request-Id"), true)
	e.serve(e, w, r)
}

// sleep waits, or returns false if the request's connection has ended before.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
