package stream

import (
	"slices"

	"chicoryhall.example/chicoryhall"
)

// place is one boundary of layers at which stages of the routes began.
type place struct {
	from    int
	engines []chicoryhall.EngineID
}

// places counts the engines that a request met in each place of its routes.
type places []place

func (p *places) add(hops []chicoryhall.Hop) {
	for _, hop := range hops {
		p.addOne(hop)
	}
}

func (p *places) addOne(hop chicoryhall.Hop) {
	for i := range *p {
		known := &(*p)[i]
		if known.from != hop.From {
			continue
		}
		if !slices.Contains(known.engines, hop.Engine) {
			known.engines = append(known.engines, hop.Engine)
		}
		return
	}
	*p = append(*p, place{from: hop.From, engines: []chicoryhall.EngineID{hop.Engine}})
}

func (p *places) count(from int) int {
	for _, known := range *p {
		if known.from == from {
			return len(known.engines)
		}
	}
	return 0
}

// most returns the largest number of engines in one place if the hops were added.
func (p *places) most(hops []chicoryhall.Hop) int {
	most := 0
	for _, hop := range hops {
		count := 1
		for _, known := range *p {
			if known.from == hop.From {
				count = known.with(hop.Engine)
			}
		}
		most = max(most, count)
	}
	return most
}

// with returns the number of engines of the place if one more was met.
func (p *place) with(id chicoryhall.EngineID) int {
	if slices.Contains(p.engines, id) {
		return len(p.engines)
	}
	return len(p.engines) + 1
}
