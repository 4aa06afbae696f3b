package pipeline

import (
	"fmt"
	"strings"

	"chicoryhall.example/chicoryhall"
)

// LayerRange is the layers [From,To).
type LayerRange struct {
	From int
	To   int
}

// UncoveredError names the layers of a service that no eligible engine can run.
type UncoveredError struct {
	Service chicoryhall.ServiceName
	Layers  []LayerRange
}

// Error names the service and each uncovered range.
func (e *UncoveredError) Error() string {
	ranges := make([]string, 0, len(e.Layers))
	for _, missing := range e.Layers {
		ranges = append(ranges, fmt.Sprintf("[%d,%d)", missing.From, missing.To))
	}
	return fmt.Sprintf("choose route: service %q has no ready engine for layers %s",
		e.Service, strings.Join(ranges, " "))
}
