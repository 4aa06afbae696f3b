package pipeline

import (
	"fmt"
	"strings"

	"chicoryhall.example/chicoryhall"
)

// LayerSpan is the half-open range of layers [From,To).
type LayerSpan struct {
	From int
	To   int
}

// UncoveredError reports that no chain of eligible endpoints covers the layers of a service.
type UncoveredError struct {
	Service chicoryhall.ServiceName
	// Layers are those that no eligible endpoint can run. It is empty if each layer has an eligible
	// endpoint but the search, which is bounded by maxGapSearches, found only chains that use one
	// endpoint twice. The text of the error does not tell this case apart. The baseline policies
	// give only the first layers for which they found no endpoint that is not yet in the chain.
	Layers []LayerSpan
	// Full is set if each layer is held by a ready endpoint that is not excluded, so that only free
	// slots are missing. It is also set if Layers is empty. The baseline policies never set it.
	Full bool
}

// LacksRoom reports whether only free slots are missing, so that the route may be found once other
// requests have ended.
func (e *UncoveredError) LacksRoom() bool { return e.Full }

// Error names the service and the uncovered layers.
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
