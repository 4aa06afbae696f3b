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
