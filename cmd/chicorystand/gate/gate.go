package gate

import "sync"

// Gate orders calls; its zero value is open.
type Gate struct {
	mu      sync.Mutex
	frozen  bool
	backlog []func()
}

// Do runs one call after the others, or keeps it until Thaw.
func (g *Gate) Do(call func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen {
		g.backlog = append(g.backlog, call)
		return
	}
	call()
}

// Inspect runs a call after the others, also while frozen.
func (g *Gate) Inspect(call func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	call()
}

// Skip runs a call after the others, or drops it while frozen.
func (g *Gate) Skip(call func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.frozen {
		call()
	}
}

// Freeze keeps back all later calls.
func (g *Gate) Freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen = true
}

// Thaw runs the calls that were kept back.
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
