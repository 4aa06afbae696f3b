package daemon

import (
	"sync"

	"chicoryhall.example/chicoryhall"
)

// trafficEndpoints is a chicoryhall.Endpoints that knows this daemon's own traffic only.
type trafficEndpoints struct {
	mu       sync.Mutex
	inFlight map[chicoryhall.EngineID]int
}

func (b *builder) buildEndpoints() error {
	b.endpoints = &trafficEndpoints{inFlight: map[chicoryhall.EngineID]int{}}
	return nil
}

// View tells the work in flight.
func (e *trafficEndpoints) View(id chicoryhall.EngineID) chicoryhall.EndpointView {
	e.mu.Lock()
	defer e.mu.Unlock()
	return chicoryhall.EndpointView{State: chicoryhall.EndpointReady, InFlight: e.inFlight[id]}
}

// Observe is ignored.
func (e *trafficEndpoints) Observe(chicoryhall.EngineID, chicoryhall.Observation) {}

// Begin counts one more piece of work.
func (e *trafficEndpoints) Begin(id chicoryhall.EngineID) { e.add(id, 1) }

// End counts one piece of work less.
func (e *trafficEndpoints) End(id chicoryhall.EngineID) { e.add(id, -1) }

// Subscribe is ignored, as no state changes.
func (e *trafficEndpoints) Subscribe(func(chicoryhall.EngineID, chicoryhall.EndpointState)) {}

func (e *trafficEndpoints) add(id chicoryhall.EngineID, change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight[id] += change
}
