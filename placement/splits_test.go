package placement_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/placement"
)

// splitMetrics is what a way to spread the layers over a domain's engines leaves to requests.
type splitMetrics struct {
	// copies is how many engines hold the layer that the fewest hold.
	copies int
	// slots is the room for usual requests at the layer with the least room.
	slots float64
	// fastest is the time of one token over the fastest chain, without links.
	fastest time.Duration
}

// measure measures the ranges of a domain's engines.
func measure(document *chicoryhall.Document, engines []placement.RangeEndpoint, ranges map[chicoryhall.EndpointID]placement.LayerSpan) splitMetrics {
	places := make([]float64, mixedLayers)
	// reached is the least time over the layers before each cut.
	reached := make([]time.Duration, mixedLayers+1)
	for cut := 1; cut <= mixedLayers; cut++ {
		reached[cut] = math.MaxInt64
	}
	for layer := range mixedLayers {
		for _, engine := range engines {
			held := ranges[engine.ID]
			if layer < held.From || layer >= held.To {
				continue
			}
			room, _ := document.MemorySlots(engine.Accelerator, held.Len())
			places[layer] += room
			accelerator, _ := document.Accelerator(engine.Accelerator)
			reached[layer+1] = min(reached[layer+1], reached[layer]+accelerator.LayerStepTime)
		}
	}
	least := math.Inf(1)
	for _, room := range places {
		least = min(least, room)
	}
	return splitMetrics{copies: minOf(holdersPerLayer(engines, ranges)), slots: least, fastest: reached[mixedLayers]}
}

// proportionalSplit lays so many copies out in the engines' order, each engine with a part of the layers by
// its weight, but no more than it holds.
func proportionalSplit(document *chicoryhall.Document, engines []placement.RangeEndpoint, copies int,
	weight func(chicoryhall.DocumentAccelerator) float64,
) map[chicoryhall.EndpointID]placement.LayerSpan {
	total := 0.0
	for _, engine := range engines {
		accelerator, _ := document.Accelerator(engine.Accelerator)
		total += weight(accelerator)
	}
	ranges := make(map[chicoryhall.EndpointID]placement.LayerSpan)
	from := 0
	for _, engine := range engines {
		accelerator, _ := document.Accelerator(engine.Accelerator)
		fits := int(accelerator.MemoryBytes / document.Model.LayerBytes)
		length := min(fits, int(math.Ceil(weight(accelerator)/total*mixedLayers*float64(copies))))
		to := min(mixedLayers, from+length)
		ranges[engine.ID] = placement.LayerSpan{From: from, To: to}
		from = to % mixedLayers
	}
	return ranges
}

// TestPlannedRangesAgainstPlainSplits compares the planner with an equal and a memory-proportional
// split of as many copies, over the domains of deployments.
func TestPlannedRangesAgainstPlainSplits(t *testing.T) {
	equal := func(chicoryhall.DocumentAccelerator) float64 { return 1 }
	byMemory := func(a chicoryhall.DocumentAccelerator) float64 { return float64(a.MemoryBytes) }
	for _, c := range []struct {
		name               string
		fast, middle, slow int
	}{
		{"small, balanced", 2, 2, 5},
		{"small, middle", 1, 6, 5},
		{"small, slow", 1, 3, 8},
		{"large, balanced", 4, 6, 14},
		{"large, middle", 2, 15, 12},
		{"large, slow", 2, 9, 22},
		{"large, few fast", 1, 10, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			document, engines := mixedDocument(), fleet(c.fast, c.middle, c.slow)
			planned := measure(document, engines, placement.PlanRanges(document, engines))
			same := measure(document, engines, proportionalSplit(document, engines, planned.copies, equal))
			proportional := measure(document, engines, proportionalSplit(document, engines, planned.copies, byMemory))
			t.Logf("planned %+v, equal %+v, by memory %+v", planned, same, proportional)
			for _, other := range []splitMetrics{same, proportional} {
				if other.copies < 1 {
					continue // It makes no chain at all.
				}
				must.LessEq(t, other.fastest, planned.fastest)
			}
			must.GreaterEq(t, proportional.copies, planned.copies)
		})
	}
}
