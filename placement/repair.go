package placement

import (
	"math"
	"slices"

	"chicoryhall.example/chicoryhall"
)

// roundingError is the relative difference up to which capacities count as equal.
const roundingError = 1e-9

// RepairRanges returns new ranges for some endpoints to close gaps, which are ranges of layers that
// no endpoint holds. A gap is closed by an endpoint whose layers are all held by others too. If
// there is none, an endpoint with a range next to the gap takes over as many of its layers as it
// has memory for while it keeps minRepairSlots. Each endpoint gets a new range at most once.
func RepairRanges(document *chicoryhall.Document, endpoints []RangeEndpoint) map[chicoryhall.EndpointID]LayerSpan {
	p := newRangePlan(document, endpoints)
	ordered := p.fastestFirst(endpoints)
	moved := make(map[chicoryhall.EndpointID]LayerSpan)
	for range ordered {
		gap := p.firstGap()
		if gap.Len() == 0 || !p.fillGap(ordered, moved, gap) {
			break
		}
	}
	return moved
}

// firstGap returns the first range of layers that no endpoint holds.
func (p *rangePlan) firstGap() LayerSpan {
	from := slices.Index(p.counts, 0)
	if from < 0 {
		return LayerSpan{}
	}
	to := from
	for to < p.layers && p.counts[to] == 0 {
		to++
	}
	return LayerSpan{From: from, To: to}
}

// fillGap makes one endpoint take over a gap or a part of it. It returns false if none can.
func (p *rangePlan) fillGap(ordered []RangeEndpoint, moved map[chicoryhall.EndpointID]LayerSpan, gap LayerSpan) bool {
	best, target := p.bestRedundant(ordered, moved, gap)
	if best < 0 {
		best, target = p.bestNeighbour(ordered, moved, gap)
	}
	if best < 0 {
		return false
	}
	p.addCount(ordered[best].Held, -1)
	p.addCount(target, 1)
	moved[ordered[best].ID] = target
	return true
}

// bestRedundant returns the redundant endpoint that can take over the most layers of a gap, with its new range. Among equal
// ones it returns the one whose move leaves the most capacity where there is the least, and among these the slowest: a fast
// one is worth more with the many layers that it holds.
func (p *rangePlan) bestRedundant(ordered []RangeEndpoint, moved map[chicoryhall.EndpointID]LayerSpan, gap LayerSpan) (int, LayerSpan) {
	best, target, most := -1, LayerSpan{}, 0.0
	capacities := p.capacities(ordered, moved)
	for i, endpoint := range ordered {
		if _, done := moved[endpoint.ID]; done || endpoint.Held.Len() == 0 || !p.isRedundant(endpoint.Held) {
			continue
		}
		length := min(gap.Len(), p.maxLayers(endpoint.Accelerator, minRepairSlots))
		if length == 0 || length < target.Len() {
			continue
		}
		to := LayerSpan{From: gap.From, To: gap.From + length}
		if least := p.leastAfterMove(capacities, endpoint, to); length > target.Len() || least >= most*(1-roundingError) {
			best, target, most = i, to, least
		}
	}
	return best, target
}

// capacities returns the capacity for each layer, in tokens a nanosecond, if the moves have been made.
func (p *rangePlan) capacities(endpoints []RangeEndpoint, moved map[chicoryhall.EndpointID]LayerSpan) []float64 {
	all := make([]float64, p.layers)
	for _, endpoint := range endpoints {
		held, done := moved[endpoint.ID]
		if !done {
			held = endpoint.Held
		}
		for layer := max(0, held.From); layer < min(p.layers, held.To); layer++ {
			all[layer] += p.capacity(endpoint, held)
		}
	}
	return all
}

// capacity returns the capacity of an endpoint for each layer of a range, in tokens a nanosecond.
func (p *rangePlan) capacity(endpoint RangeEndpoint, held LayerSpan) float64 {
	return 1 / float64(max(1, p.layerStepTime(endpoint))*int64(max(1, held.Len())))
}

// leastAfterMove returns the least capacity of a layer that has any, after an endpoint has moved to a range.
func (p *rangePlan) leastAfterMove(capacities []float64, endpoint RangeEndpoint, to LayerSpan) float64 {
	least := math.Inf(1)
	for layer, capacity := range capacities {
		if layer >= endpoint.Held.From && layer < endpoint.Held.To {
			capacity -= p.capacity(endpoint, endpoint.Held)
		}
		if layer >= to.From && layer < to.To {
			capacity += p.capacity(endpoint, to)
		}
		if p.counts[layer] > 0 || capacity > 0 {
			least = math.Min(least, capacity)
		}
	}
	return least
}

// isRedundant reports whether every layer of a range has another holder.
func (p *rangePlan) isRedundant(held LayerSpan) bool {
	for layer := max(0, held.From); layer < min(p.layers, held.To); layer++ {
		if p.counts[layer] < 2 {
			return false
		}
	}
	return true
}

// bestNeighbour returns the endpoint next to a gap that can take over the most of its layers, with
// its new range. Among equal ones it returns the one that ends up with the fewest layers.
func (p *rangePlan) bestNeighbour(ordered []RangeEndpoint, moved map[chicoryhall.EndpointID]LayerSpan, gap LayerSpan) (int, LayerSpan) {
	best, most, target := -1, 0, LayerSpan{}
	for i, endpoint := range ordered {
		held := endpoint.Held
		if _, done := moved[endpoint.ID]; done || held.Len() == 0 {
			continue
		}
		more := min(gap.Len(), p.maxLayers(endpoint.Accelerator, minRepairSlots)-held.Len())
		if more <= 0 || more < most || more == most && held.Len()+more >= target.Len() {
			continue
		}
		switch {
		case held.To == gap.From:
			best, most, target = i, more, LayerSpan{From: held.From, To: held.To + more}
		case held.From == gap.To:
			best, most, target = i, more, LayerSpan{From: held.From - more, To: held.To}
		}
	}
	return best, target
}
