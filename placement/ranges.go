package placement

import (
	"cmp"
	"slices"

	"chicoryhall.example/chicoryhall"
)

const (
	// minSlots is the number of mean-size requests for which each copy of the model must leave
	// memory when more than one copy is planned.
	minSlots = 32
	// maxUsefulSlots is the number of requests beyond which memory is better used for layers that
	// other endpoints hold too.
	maxUsefulSlots = 64
	// maxCopies bounds the copies of a model in one failure domain.
	maxCopies = 3
	// bisectionSteps is the number of bisections that determine the number of slots, to one in a
	// million.
	bisectionSteps = 20
	// slotsUpperBound is more slots than any accelerator has memory for.
	slotsUpperBound = 1 << 14
	// trimDivisor bounds trimming: a range is trimmed to the layers that need it only if more than
	// 1/trimDivisor of it is left, because the endpoint would otherwise stay nearly empty.
	trimDivisor = 3
	// minRepairSlots is the number of requests for which an endpoint must keep memory when it takes
	// over the layers of a lost one.
	minRepairSlots = 8
)

// LayerSpan is the half-open range of layers [From,To).
type LayerSpan struct {
	From int
	To   int
}

// Len returns the number of layers.
func (r LayerSpan) Len() int { return r.To - r.From }

// RangeEndpoint is an endpoint of a failure domain for which ranges are planned.
type RangeEndpoint struct {
	ID          chicoryhall.EndpointID
	Accelerator chicoryhall.AcceleratorKind
	// Held are the layers that the endpoint holds. The range is empty after a start.
	Held LayerSpan
	// Incarnation identifies the endpoint's process: it changes with a restart.
	Incarnation int64
}

// PlanRanges returns the layers to load for each endpoint that holds none. The others keep theirs.
// Fast endpoints are placed first and next to each other, so that they form complete fast chains.
// Each endpoint gets the layers that the fewest others hold. Ranges are as long as possible while
// every copy of the model leaves memory for the same number of requests.
func PlanRanges(document *chicoryhall.Document, endpoints []RangeEndpoint) map[chicoryhall.EndpointID]LayerSpan {
	p := newRangePlan(document, endpoints)
	ordered := p.fastestFirst(endpoints)
	slots := p.slotsFor(ordered)
	planned := make(map[chicoryhall.EndpointID]LayerSpan)
	for _, endpoint := range ordered {
		if endpoint.Held.Len() > 0 {
			continue
		}
		if chosen := p.leastHeldRange(p.maxLayers(endpoint.Accelerator, slots)); chosen.Len() > 0 {
			p.addCount(chosen, 1)
			planned[endpoint.ID] = chosen
		}
	}
	return planned
}

// rangePlan is the state of one call of PlanRanges or RepairRanges.
type rangePlan struct {
	document *chicoryhall.Document
	layers   int
	// counts is the number of endpoints that hold each layer.
	counts []int
}

func newRangePlan(document *chicoryhall.Document, endpoints []RangeEndpoint) *rangePlan {
	p := &rangePlan{document: document, layers: document.Model.Layers, counts: make([]int, document.Model.Layers)}
	for _, endpoint := range endpoints {
		p.addCount(endpoint.Held, 1)
	}
	return p
}

// fastestFirst sorts endpoints by their step time, then by ID.
func (p *rangePlan) fastestFirst(endpoints []RangeEndpoint) []RangeEndpoint {
	ordered := slices.Clone(endpoints)
	slices.SortFunc(ordered, func(a, b RangeEndpoint) int {
		return cmp.Or(cmp.Compare(p.stepTime(a), p.stepTime(b)), cmp.Compare(a.ID, b.ID))
	})
	return ordered
}

func (p *rangePlan) stepTime(endpoint RangeEndpoint) int64 {
	accelerator, _ := p.document.Accelerator(endpoint.Accelerator)
	return int64(accelerator.LayerStepTime)
}

// slotsFor returns the number of slots to plan with: what the largest sensible number of copies
// leaves.
func (p *rangePlan) slotsFor(endpoints []RangeEndpoint) float64 {
	slots := p.maxSlots(endpoints, 1)
	for copies := 2; copies <= maxCopies; copies++ {
		more := p.maxSlots(endpoints, copies)
		if more < minSlots {
			break
		}
		slots = more
	}
	return min(slots, maxUsefulSlots)
}

// maxSlots returns the largest number of slots with which the endpoints can hold the given number
// of copies, or 0 if they cannot.
func (p *rangePlan) maxSlots(endpoints []RangeEndpoint, copies int) float64 {
	low, high := 0.0, float64(slotsUpperBound)
	if p.copiesFor(endpoints, low) < copies {
		return 0
	}
	for range bisectionSteps {
		middle := (low + high) / 2
		if p.copiesFor(endpoints, middle) >= copies {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// copiesFor returns how many complete copies the endpoints can hold, one after another, if each
// endpoint leaves memory for the given number of slots.
func (p *rangePlan) copiesFor(endpoints []RangeEndpoint, slots float64) int {
	copies, reached := 0, 0
	for _, endpoint := range endpoints {
		reached += p.maxLayers(endpoint.Accelerator, slots)
		if reached >= p.layers {
			copies++
			reached = 0
		}
	}
	return copies
}

// maxLayers returns the largest number of layers that an accelerator can hold in addition to the
// given number of slots.
func (p *rangePlan) maxLayers(kind chicoryhall.AcceleratorKind, slots float64) int {
	accelerator, known := p.document.Accelerator(kind)
	if !known {
		return 0
	}
	model := p.document.Model
	perLayer := float64(model.LayerBytes) + slots*float64(model.MeanPromptTokens+model.MeanAnswerTokens)*float64(model.KVBytes)
	if perLayer <= 0 {
		return p.layers
	}
	return min(p.layers, int(float64(accelerator.MemoryBytes)/perLayer))
}

// addCount adds a number of endpoints to the counts of a range.
func (p *rangePlan) addCount(r LayerSpan, endpoints int) {
	for layer := max(0, r.From); layer < min(p.layers, r.To); layer++ {
		p.counts[layer] += endpoints
	}
}

// leastHeldRange returns the range of up to length layers that contains the most of the layers with
// the lowest count. Of equal ranges it returns the first.
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

// layersWithCount returns how many layers of a range are held by exactly the given number of
// endpoints.
func (p *rangePlan) layersWithCount(window LayerSpan, endpoints int) int {
	count := 0
	for _, n := range p.counts[window.From:window.To] {
		if n == endpoints {
			count++
		}
	}
	return count
}

// trim removes layers from both ends of a range that are not held by exactly the given number of
// endpoints, unless too little would be left.
func (p *rangePlan) trim(window LayerSpan, endpoints int) LayerSpan {
	trimmed := window
	for trimmed.Len() > 0 && p.counts[trimmed.From] != endpoints {
		trimmed.From++
	}
	for trimmed.Len() > 0 && p.counts[trimmed.To-1] != endpoints {
		trimmed.To--
	}
	if trimmed.Len() <= window.Len()/trimDivisor {
		return window
	}
	return trimmed
}
