package placement

import (
	"cmp"
	"slices"

	"chicoryhall.example/chicoryhall"
)

const (
	// A slot is the memory for one request of mean size in the layers that an endpoint holds.
	//
	// minSlots is the number of slots that each endpoint must keep when more than one copy of the
	// model is planned.
	minSlots = 32
	// An endpoint keeps slotsPerDaemon slots for each daemon of its failure domain, at least
	// minUsefulSlots and at most maxUsefulSlots; other memory is better used for layers that other
	// endpoints hold too. Ranges are planned before there is traffic, and a deployment has as many
	// daemons as its traffic needs.
	slotsPerDaemon = 8
	minUsefulSlots = 64
	maxUsefulSlots = 96
	// maxCopies bounds the copies of a model in one failure domain.
	maxCopies = 3
	// bisectionSteps is the number of bisections in the search for the number of slots, which
	// determine it to a millionth of slotsUpperBound.
	bisectionSteps = 20
	// slotsUpperBound is assumed to be more slots than any accelerator has memory for.
	slotsUpperBound = 1 << 14
	// trimDivisor bounds trimming: a range is trimmed only if more than 1/trimDivisor of its layers
	// are left, so that the endpoint's memory does not stay unused.
	trimDivisor = 3
	// minRepairSlots is the number of slots that an endpoint must keep when it takes over the
	// layers of a lost one.
	minRepairSlots = 8
)

// LayerSpan is the half-open range of layers [From,To), without a model and version.
type LayerSpan struct {
	From int
	To   int
}

// Len returns the number of layers.
func (s LayerSpan) Len() int { return s.To - s.From }

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
//
// It first determines the number of slots that all endpoints keep, up to that which the given number
// of daemons needs: it takes
// the largest number of copies of the model, up to maxCopies, with which each endpoint can keep
// minSlots, and the most slots that are possible with this number of copies. For a single copy,
// fewer than minSlots are accepted too. The length of an endpoint's range is then the number of
// layers that its memory holds in addition to these slots. Its position is chosen so that the range
// contains as many as possible of the layers that have the fewest holders so far. Fast endpoints
// come first and get adjacent ranges, so that they form complete fast chains.
func PlanRanges(document *chicoryhall.Document, endpoints []RangeEndpoint, daemons int) map[chicoryhall.EndpointID]LayerSpan {
	p := newRangePlan(document, endpoints)
	ordered := p.fastestFirst(endpoints)
	slots := min(p.slotsFor(ordered), usefulSlots(daemons))
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

// rangePlan counts the endpoints that hold each layer while ranges are planned or repaired.
type rangePlan struct {
	document *chicoryhall.Document
	layers   int
	// counts is the number of endpoints that hold each layer, its holders.
	counts []int
}

func newRangePlan(document *chicoryhall.Document, endpoints []RangeEndpoint) *rangePlan {
	p := &rangePlan{document: document, layers: document.Model.Layers, counts: make([]int, document.Model.Layers)}
	for _, endpoint := range endpoints {
		p.addCount(endpoint.Held, 1)
	}
	return p
}

// fastestFirst sorts endpoints by their LayerStepTime, then by ID. Endpoints of an accelerator kind
// that the document does not describe come first, but maxLayers gives them no layers.
func (p *rangePlan) fastestFirst(endpoints []RangeEndpoint) []RangeEndpoint {
	ordered := slices.Clone(endpoints)
	slices.SortFunc(ordered, func(a, b RangeEndpoint) int {
		return cmp.Or(cmp.Compare(p.layerStepTime(a), p.layerStepTime(b)), cmp.Compare(a.ID, b.ID))
	})
	return ordered
}

func (p *rangePlan) layerStepTime(endpoint RangeEndpoint) int64 {
	accelerator, _ := p.document.Accelerator(endpoint.Accelerator)
	return int64(accelerator.LayerStepTime)
}

// slotsFor returns the number of slots that the endpoints keep, with the largest number of copies
// of the model that leaves minSlots.
func (p *rangePlan) slotsFor(endpoints []RangeEndpoint) float64 {
	slots := p.maxSlots(endpoints, 1)
	for copies := 2; copies <= maxCopies; copies++ {
		more := p.maxSlots(endpoints, copies)
		if more < minSlots {
			break
		}
		slots = more
	}
	return slots
}

// usefulSlots returns the number of slots that an endpoint needs if its failure domain has the given
// number of daemons.
func usefulSlots(daemons int) float64 {
	return float64(min(maxUsefulSlots, max(minUsefulSlots, slotsPerDaemon*daemons)))
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

// copiesFor returns how many complete copies of the model the endpoints can hold if each keeps the
// given number of slots. It fills the copies one after another with the endpoints in the given
// order; an endpoint holds layers of one copy only.
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

// addCount adds a number of holders to each layer of a range.
func (p *rangePlan) addCount(r LayerSpan, holders int) {
	for layer := max(0, r.From); layer < min(p.layers, r.To); layer++ {
		p.counts[layer] += holders
	}
}

// leastHeldRange returns a range for an endpoint that can hold length layers. Of the ranges of this
// length, it is the one that contains the most layers with the least count of holders, or the first
// of several such ranges. It is then trimmed to begin and end with such a layer.
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

// layersWithCount returns how many layers of a range have exactly the given number of holders.
func (p *rangePlan) layersWithCount(window LayerSpan, holders int) int {
	count := 0
	for _, n := range p.counts[window.From:window.To] {
		if n == holders {
			count++
		}
	}
	return count
}

// trim removes layers that have another number of holders from both ends of a range, unless too few
// layers would be left.
func (p *rangePlan) trim(window LayerSpan, holders int) LayerSpan {
	trimmed := window
	for trimmed.Len() > 0 && p.counts[trimmed.From] != holders {
		trimmed.From++
	}
	for trimmed.Len() > 0 && p.counts[trimmed.To-1] != holders {
		trimmed.To--
	}
	if trimmed.Len() <= window.Len()/trimDivisor {
		return window
	}
	return trimmed
}
