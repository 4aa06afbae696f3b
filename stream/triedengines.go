package stream

import (
	"slices"

	"chicoryhall.example/chicoryhall"
)

// triedEngine is an engine that a request has tried, with the layers [from,to) that it was to run.
type triedEngine struct {
	id   chicoryhall.EndpointID
	from int
	to   int
}

// triedEngines are the engines that a request has tried, for counting them per layer of the model.
// Routes may divide the layers differently.
type triedEngines []triedEngine

func (t *triedEngines) add(hops []chicoryhall.Hop) {
	for _, hop := range hops {
		engine := triedEngineOf(hop)
		if !slices.Contains(*t, engine) {
			*t = append(*t, engine)
		}
	}
}

// triedEngineOf returns the entry for a hop; a hop without layers counts as having one.
func triedEngineOf(hop chicoryhall.Hop) triedEngine {
	return triedEngine{id: hop.Engine, from: hop.From, to: max(hop.To, hop.From+1)}
}

// maxCount returns the largest number of engines tried for any one layer, counting the hops
// themselves as tried.
func (t *triedEngines) maxCount(hops []chicoryhall.Hop) int {
	largest := 0
	for _, hop := range hops {
		largest = max(largest, t.count(hop))
	}
	return largest
}

// count returns the largest number of engines tried for any one layer of a hop, counting the hop's
// engine as tried. From one layer to the next the number can only grow where the layers of a tried
// engine begin, so only the first layer of the hop and these layers are looked at.
func (t *triedEngines) count(hop chicoryhall.Hop) int {
	candidate := triedEngineOf(hop)
	largest := t.countAt(candidate.from, candidate.id)
	for _, engine := range *t {
		if candidate.from <= engine.from && engine.from < candidate.to {
			largest = max(largest, t.countAt(engine.from, candidate.id))
		}
	}
	return largest
}

// countAt returns the number of engines tried for a layer, counting the candidate as tried.
func (t *triedEngines) countAt(layer int, candidate chicoryhall.EndpointID) int {
	engines := []chicoryhall.EndpointID{candidate}
	for _, engine := range *t {
		if engine.from <= layer && layer < engine.to && !slices.Contains(engines, engine.id) {
			engines = append(engines, engine.id)
		}
	}
	return len(engines)
}
