package placement

import (
	"cmp"
	"slices"

	"chicoryhall.example/chicoryhall"
)

const (
	// minSlots is the number of usual requests that the memory of each copy of the model must
	// hold; more copies are planned only if that is left.
	minSlots = 32
	// maxUsefulSlots is the room for requests beyond which memory is better spent on layers that
	// other engines hold too.
	maxUsefulSlots = 64
	// maxCopies bounds the copies of a model in one failure domain.
	maxCopies = 3
	// bisectionSteps is the number of halvings that find the room for requests: one in a million.
	bisectionSteps = 20
	// slotsUpperBound is above what any accelerator holds.
	slotsUpperBound = 1 << 14
	// trimDivisor is the part of an engine's layers below which a gap is filled together with layers
	// beside it, as the engine would else be left nearly empty.
	trimDivisor = 3
	// minRepairSlots is the room for requests that an engine must keep when it takes over the layers
	// of a lost neighbour.
	minRepairSlots = 8
)

// LayerSpan is the layers [From,To).
type LayerSpan struct {
	From int
	To   int
}

// Len returns the number of layers.
func (r LayerSpan) Len() int { return r.To - r.From }

// RangeEndpoint is one engine of a failure domain as the planner of ranges sees it.
type RangeEndpoint struct {
	ID          chicoryhall.EndpointID
	Accelerator chicoryhall.AcceleratorKind
	// Held is what the engine holds; it is empty after a start.
	Held LayerSpan
	// Incarnation tells the runs of an engine apart.
	Incarnation int64
}

// PlanRanges returns the layers that each engine without any shall load. Engines keep what they
// hold. Fast engines are placed first and beside each other, so that they make whole fast chains;
// each engine goes where the fewest others hold the layers. Ranges are as long as they can be
// while every copy of the model keeps room for the same number of requests.
func PlanRanges(document *chicoryhall.Document, engines []RangeEndpoint) map[chicoryhall.EndpointID]LayerSpan {
	p := newRangePlan(document, engines)
	ordered := p.fastestFirst(engines)
	places := p.slotsFor(ordered)
	planned := make(map[chicoryhall.EndpointID]LayerSpan)
	for _, engine := range ordered {
		if engine.Held.Len() > 0 {
			continue
		}
		if chosen := p.leastHeldRange(p.maxLayers(engine.Accelerator, places)); chosen.Len() > 0 {
			p.addCount(chosen, 1)
			planned[engine.ID] = chosen
		}
	}
	return planned
}

// rangePlan is the state of one call of PlanRanges.
type rangePlan struct {
	document *chicoryhall.Document
	layers   int
	// counts counts the engines that hold each layer.
	counts []int
}

func newRangePlan(document *chicoryhall.Document, engines []RangeEndpoint) *rangePlan {
	p := &rangePlan{document: document, layers: document.Model.Layers, counts: make([]int, document.Model.Layers)}
	for _, engine := range engines {
		p.addCount(engine.Held, 1)
	}
	return p
}

// fastestFirst orders engines by the time of a step, then by ID.
func (p *rangePlan) fastestFirst(engines []RangeEndpoint) []RangeEndpoint {
	ordered := slices.Clone(engines)
	slices.SortFunc(ordered, func(a, b RangeEndpoint) int {
		return cmp.Or(cmp.Compare(p.stepTime(a), p.stepTime(b)), cmp.Compare(a.ID, b.ID))
	})
	return ordered
}

func (p *rangePlan) stepTime(engine RangeEndpoint) int64 {
	accelerator, _ := p.document.Accelerator(engine.Accelerator)
	return int64(accelerator.LayerStepTime)
}

// slotsFor returns the room for requests that the largest sensible number of copies leaves.
func (p *rangePlan) slotsFor(engines []RangeEndpoint) float64 {
	places := p.maxSlots(engines, 1)
	for copies := 2; copies <= maxCopies; copies++ {
		with := p.maxSlots(engines, copies)
		if with < minSlots {
			break
		}
		places = with
	}
	return min(places, maxUsefulSlots)
}

// maxSlots returns the greatest room for requests with which the engines hold so many
// copies, or 0 when they cannot.
func (p *rangePlan) maxSlots(engines []RangeEndpoint, copies int) float64 {
	low, high := 0.0, float64(slotsUpperBound)
	if p.copiesFor(engines, low) < copies {
		return 0
	}
	for range bisectionSteps {
		middle := (low + high) / 2
		if p.copiesFor(engines, middle) >= copies {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// copiesFor returns the whole copies that the engines make, one beside the other, when each
// keeps the given room for requests.
func (p *rangePlan) copiesFor(engines []RangeEndpoint, places float64) int {
	copies, reached := 0, 0
	for _, engine := range engines {
		reached += p.maxLayers(engine.Accelerator, places)
		if reached >= p.layers {
			copies++
			reached = 0
		}
	}
	return copies
}

// maxLayers returns the most layers that an accelerator holds beside the given room for requests.
func (p *rangePlan) maxLayers(kind chicoryhall.AcceleratorKind, places float64) int {
	accelerator, known := p.document.Accelerator(kind)
	if !known {
		return 0
	}
	model := p.document.Model
	perLayer := float64(model.LayerBytes) + places*float64(model.MeanPromptTokens+model.MeanAnswerTokens)*float64(model.KVBytes)
	if perLayer <= 0 {
		return p.layers
	}
	return min(p.layers, int(float64(accelerator.MemoryBytes)/perLayer))
}

// addCount adds a number of engines to the layers of a range.
func (p *rangePlan) addCount(r LayerSpan, engines int) {
	for layer := max(0, r.From); layer < min(p.layers, r.To); layer++ {
		p.counts[layer] += engines
	}
}

// leastHeldRange returns the range of up to length layers with the most layers that the fewest engines hold,
// the first of equal ones.
func (p *rangePlan) leastHeldRange(length int) LayerSpan {
	if length == 0 {
		return LayerSpan{}
	}
	least := slices.Min(p.counts)
	best, most := LayerSpan{}, 0
	for from := 0; from+length <= p.layers; from++ {
		window := LayerSpan{From: from, To: from + length}
		if count := p.layersWithCount(window, least); count > most {
			best, most = window, count
		}
	}
	return p.trim(best, least)
}

// layersWithCount counts the layers of a range that so many engines hold.
func (p *rangePlan) layersWithCount(window LayerSpan, engines int) int {
	count := 0
	for _, cover := range p.counts[window.From:window.To] {
		if cover == engines {
			count++
		}
	}
	return count
}

// trim cuts the ends off a range that more than the given number of engines hold, unless little is
// left of it.
func (p *rangePlan) trim(window LayerSpan, engines int) LayerSpan {
	trimmed := window
	for trimmed.Len() > 0 && p.counts[trimmed.From] != engines {
		trimmed.From++
	}
	for trimmed.Len() > 0 && p.counts[trimmed.To-1] != engines {
		trimmed.To--
	}
	if trimmed.Len() <= window.Len()/trimDivisor {
		return window
	}
	return trimmed
}
