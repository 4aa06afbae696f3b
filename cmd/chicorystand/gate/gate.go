package gate

import "sync"

// Gate runs functions one at a time. The zero value is not frozen. A function must not use the gate itself, as the
// gate's lock is held while it runs.
type Gate struct {
	mu     sync.Mutex
	frozen bool
	queue  []func()
}

// Do runs f, or queues it until Thaw if the gate is frozen.
func (g *Gate) Do(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen {
		g.queue = append(g.queue, f)
		return
	}
	f()
}

// DoAlways runs f even if the gate is frozen. The control endpoint uses it.
func (g *Gate) DoAlways(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// DoUnlessFrozen runs f, or drops it if the gate is frozen. It is for periodic work.
func (g *Gate) DoUnlessFrozen(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.frozen {
		f()
	}
}

// Freeze makes Do queue the functions that it gets from now on.
func (g *Gate) Freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen = true
}

// Thaw ends the freeze and runs the queued functions in the order of their calls of Do. Other functions wait meanwhile.
func (g *Gate) Thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen = false
	queue := g.queue
	g.queue = nil
	for _, f := range queue {
		f()
	}
}
