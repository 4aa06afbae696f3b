package gate

import "sync"

// Gate runs calls one at a time. The zero value is not frozen.
type Gate struct {
	mu      sync.Mutex
	frozen  bool
	backlog []func()
}

// Do runs a call, or queues it until Thaw if the gate is frozen.
func (g *Gate) Do(call func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen {
		g.backlog = append(g.backlog, call)
		return
	}
	call()
}

// DoAlways runs a call even if the gate is frozen.
func (g *Gate) DoAlways(call func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	call()
}

// DoUnlessFrozen runs a call, or drops it if the gate is frozen.
func (g *Gate) DoUnlessFrozen(call func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.frozen {
		call()
	}
}

// Freeze makes Do queue all later calls.
func (g *Gate) Freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen = true
}

// Thaw runs the queued calls and ends the freeze.
func (g *Gate) Thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen = false
	backlog := g.backlog
	g.backlog = nil
	for _, call := range backlog {
		call()
	}
}
