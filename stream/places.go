package stream

import (
	"slices"

	"chicoryhall.example/chicoryhall"
)

// meeting is an engine that a request has met, and the layers that it ran there.
type meeting struct {
	engine chicoryhall.EndpointID
	from   int
	to     int
}

// places counts the engines that a request met at each layer of its routes, which may cut the
// layers at different boundaries.
type places []meeting

func (p *places) add(hops []chicoryhall.Hop) {
	for _, hop := range hops {
		met := meetingOf(hop)
		if !slices.Contains(*p, met) {
			*p = append(*p, met)
		}
	}
}

// meetingOf takes an empty range of layers as one layer.
func meetingOf(hop chicoryhall.Hop) meeting {
	return meeting{engine: hop.Engine, from: hop.From, to: max(hop.To, hop.From+1)}
}

// most returns the largest number of engines at one layer if the hops were added.
func (p *places) most(hops []chicoryhall.Hop) int {
	most := 0
	for _, hop := range hops {
		most = max(most, p.count(hop))
	}
	return most
}

// count returns the largest number of engines, the hop's own included, at one of its layers.
func (p *places) count(hop chicoryhall.Hop) int {
	own := meetingOf(hop)
	most := p.countAt(own.from, own.engine)
	for _, met := range *p {
		if own.from <= met.from && met.from < own.to {
			most = max(most, p.countAt(met.from, own.engine))
		}
	}
	return most
}

// countAt returns the number of engines met at a layer, with one more.
func (p *places) countAt(layer int, with chicoryhall.EndpointID) int {
	engines := []chicoryhall.EndpointID{with}
	for _, met := range *p {
		if met.from <= layer && layer < met.to && !slices.Contains(engines, met.engine) {
			engines = append(engines, met.engine)
		}
	}
	return len(engines)
}
