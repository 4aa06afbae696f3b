package pipeline

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

// MaxThroughput returns the largest number of tokens per second that the ready endpoints can
// generate and the links can carry for a mix of work, or an UncoveredError if no chain covers the
// model. The text of the error speaks of choosing a route, as for a request.
func MaxThroughput(document *chicoryhall.Document, view func(chicoryhall.EndpointID) chicoryhall.EndpointView, mix Mix) (float64, error) {
	p := newPlan(document, view, time.Time{})
	anyGroup := func(*group) bool { return true }
	if missing := p.uncovered(0, p.layers, anyGroup); len(missing) > 0 {
		return 0, &UncoveredError{Service: document.Service, Layers: missing}
	}
	_, rate := maxFlow(p, mix)
	return rate, nil
}
