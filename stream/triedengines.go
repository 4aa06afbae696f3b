package stream

import (
	"slices"

	"chicoryhall.example/chicoryhall"
)

// engineLayers is an engine that a request has tried, with the layers that it was to run.
type engineLayers struct {
	engine chicoryhall.EndpointID
	from   int
	to     int
}

// triedEngines counts the engines tried for each layer of the model. Routes may divide the layers
// differently.
type triedEngines []engineLayers

func (t *triedEngines) add(hops []chicoryhall.Hop) {
	for _, hop := range hops {
		used := engineLayersOf(hop)
		if !slices.Contains(*t, used) {
			*t = append(*t, used)
		}
	}
}

// engineLayersOf treats an empty range of layers as one layer.
func engineLayersOf(hop chicoryhall.Hop) engineLayers {
	return engineLayers{engine: hop.Engine, from: hop.From, to: max(hop.To, hop.From+1)}
}

// maxCount returns how many engines would have been tried for the layer with the most engines among
// those of the hops, if the hops were added.
func (t *triedEngines) maxCount(hops []chicoryhall.Hop) int {
	most := 0
	for _, hop := range hops {
		most = max(most, t.count(hop))
	}
	return most
}

// count returns the same for a single hop.
func (t *triedEngines) count(hop chicoryhall.Hop) int {
	own := engineLayersOf(hop)
	most := t.countAt(own.from, own.engine)
	for _, used := range *t {
		if own.from <= used.from && used.from < own.to {
			most = max(most, t.countAt(used.from, own.engine))
		}
	}
	return most
}

// countAt returns how many engines would have been tried for a layer, the given one included.
func (t *triedEngines) countAt(layer int, with chicoryhall.EndpointID) int {
	engines := []chicoryhall.EndpointID{with}
	for _, used := range *t {
		if used.from <= layer && layer < used.to && !slices.Contains(engines, used.engine) {
			engines = append(engines, used.engine)
		}
	}
	return len(engines)
}
