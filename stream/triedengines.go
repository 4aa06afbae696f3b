package stream

import (
	"slices"

	"chicoryhall.example/chicoryhall"
)

// triedLayers is an engine that a request has tried, with the layers [from,to) that it was to run.
type triedLayers struct {
	engine chicoryhall.EndpointID
	from   int
	to     int
}

// triedEngines are the engines that a request has tried, for counting them per layer of the model.
// Routes may divide the layers differently.
type triedEngines []triedLayers

func (t *triedEngines) add(hops []chicoryhall.Hop) {
	for _, hop := range hops {
		used := layersOf(hop)
		if !slices.Contains(*t, used) {
			*t = append(*t, used)
		}
	}
}

// layersOf returns the layers of a hop; a hop without layers counts as having one.
func layersOf(hop chicoryhall.Hop) triedLayers {
	return triedLayers{engine: hop.Engine, from: hop.From, to: max(hop.To, hop.From+1)}
}

// maxCount returns the largest number of engines tried for any one layer, counting the hops
// themselves as tried.
func (t *triedEngines) maxCount(hops []chicoryhall.Hop) int {
	most := 0
	for _, hop := range hops {
		most = max(most, t.count(hop))
	}
	return most
}

// count returns the largest number of engines tried for any one layer of a hop, counting the hop's
// engine as tried. The number can only grow at the first layer of a triedLayers, so only these
// layers are looked at.
func (t *triedEngines) count(hop chicoryhall.Hop) int {
	own := layersOf(hop)
	most := t.countAt(own.from, own.engine)
	for _, used := range *t {
		if own.from <= used.from && used.from < own.to {
			most = max(most, t.countAt(used.from, own.engine))
		}
	}
	return most
}

// countAt returns the number of engines tried for a layer, counting the given engine as tried.
func (t *triedEngines) countAt(layer int, with chicoryhall.EndpointID) int {
	engines := []chicoryhall.EndpointID{with}
	for _, used := range *t {
		if used.from <= layer && layer < used.to && !slices.Contains(engines, used.engine) {
			engines = append(engines, used.engine)
		}
	}
	return len(engines)
}
