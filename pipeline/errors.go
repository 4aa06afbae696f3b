package pipeline

import (
	"fmt"
	"strings"

	"chicoryhall.example/chicoryhall"
)

// LayerSpan is the layers [From,To).
type LayerSpan struct {
	From int
	To   int
}

// UncoveredError names the layers of a service that no eligible engine can run.
type UncoveredError struct {
	Service chicoryhall.ServiceName
	Layers  []LayerSpan
	// Full tells that ready engines hold the layers and lack room.
	Full bool
}

// LacksRoom tells whether there is a route once other requests have ended.
func (e *UncoveredError) LacksRoom() bool { return e.Full }

// Error names the service and each uncovered range.
func (e *UncoveredError) Error() string {
	ranges := make([]string, 0, len(e.Layers))
	for _, missing := range e.Layers {
		ranges = append(ranges, fmt.Sprintf("[%d,%d)", missing.From, missing.To))
	}
	lack := "no ready engine"
	if e.Full {
		lack = "no engine with room"
	}
	return fmt.Sprintf("choose route: service %q has %s for layers %s", e.Service, lack, strings.Join(ranges, " "))
}
