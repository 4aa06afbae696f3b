package placement

import (
	"slices"

	"chicoryhall.example/chicoryhall"
)

// RepairRanges returns the ranges of engines that shall hold other layers than they do, so that
// layers which no engine holds are served again. An engine moves whose own layers others hold too;
// where there is none, a neighbour of the gap takes layers on if its memory keeps room for requests.
func RepairRanges(document *chicoryhall.Document, engines []RangeEndpoint) map[chicoryhall.EndpointID]LayerSpan {
	p := newRangePlan(document, engines)
	ordered := p.fastestFirst(engines)
	moved := make(map[chicoryhall.EndpointID]LayerSpan)
	for range ordered {
		gap := p.firstGap()
		if gap.Len() == 0 || !p.fillGap(ordered, moved, gap) {
			break
		}
	}
	return moved
}

// firstGap returns the first layers that no engine holds.
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

// fillGap makes one engine fill a gap or a part of it; false means that none can.
func (p *rangePlan) fillGap(ordered []RangeEndpoint, moved map[chicoryhall.EndpointID]LayerSpan, gap LayerSpan) bool {
	best, target := -1, LayerSpan{}
	for i, engine := range ordered {
		if _, done := moved[engine.ID]; done || engine.Held.Len() == 0 || !p.isRedundant(engine.Held) {
			continue
		}
		length := min(gap.Len(), p.maxLayers(engine.Accelerator, minRepairSlots))
		if length > target.Len() {
			best, target = i, LayerSpan{From: gap.From, To: gap.From + length}
		}
	}
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

// isRedundant tells whether other engines hold every layer of a range too.
func (p *rangePlan) isRedundant(held LayerSpan) bool {
	for layer := max(0, held.From); layer < min(p.layers, held.To); layer++ {
		if p.counts[layer] < 2 {
			return false
		}
	}
	return true
}

// bestNeighbour returns the neighbour of a gap that can take the most of its layers on, of equal ones the
// one that holds the fewest.
func (p *rangePlan) bestNeighbour(ordered []RangeEndpoint, moved map[chicoryhall.EndpointID]LayerSpan, gap LayerSpan) (int, LayerSpan) {
	best, most, target := -1, 0, LayerSpan{}
	for i, engine := range ordered {
		held := engine.Held
		if _, done := moved[engine.ID]; done || held.Len() == 0 {
			continue
		}
		more := min(gap.Len(), p.maxLayers(engine.Accelerator, minRepairSlots)-held.Len())
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
