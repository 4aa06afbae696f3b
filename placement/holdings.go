package placement

import (
	"slices"

	"chicoryhall.example/chicoryhall"
)

// targetEndpoint is one engine with all that the documents want it to hold.
type targetEndpoint struct {
	endpoint chicoryhall.DocumentEndpoint
	wanted   []chicoryhall.LayerRange
}

// targets returns the failure domain's targets in the order of the documents.
func (p *Planner) targets(documents []*chicoryhall.Document) []targetEndpoint {
	var engines []targetEndpoint
	index := map[chicoryhall.EndpointID]int{}
	for _, d := range documents {
		if d.Kind != chicoryhall.ServicePipeline {
			continue
		}
		for _, endpoint := range d.Endpoints {
			if endpoint.FailureDomain != p.config.FailureDomain || endpoint.From == endpoint.To {
				continue
			}
			i, known := index[endpoint.ID]
			if !known {
				i = len(engines)
				index[endpoint.ID] = i
				engines = append(engines, targetEndpoint{endpoint: endpoint})
			}
			engines[i].wanted = append(engines[i].wanted, wantedRange(d, endpoint))
		}
	}
	return engines
}

func wantedRange(d *chicoryhall.Document, endpoint chicoryhall.DocumentEndpoint) chicoryhall.LayerRange {
	return chicoryhall.LayerRange{Model: d.Model.Name, Version: d.Model.Version, From: endpoint.From, To: endpoint.To}
}

// isFullyLoaded tells whether a chain of engines holds the version and the ranges that the document wants.
func isFullyLoaded(d *chicoryhall.Document, reports map[chicoryhall.EndpointID]Report) bool {
	var held []chicoryhall.LayerRange
	for _, endpoint := range d.Endpoints {
		report := reports[endpoint.ID]
		wanted := wantedRange(d, endpoint)
		if report.Known && slices.Contains(report.Load.LoadedLayers, wanted) {
			held = append(held, wanted)
		}
	}
	return coversAllLayers(held, d.Model.Layers)
}

// coversAllLayers tells whether a chain of the ranges, each beginning where the one before it ends
// or inside it, reaches from the first to the last layer.
func coversAllLayers(held []chicoryhall.LayerRange, layers int) bool {
	reached := 0
	for grown := true; grown && reached < layers; {
		grown = false
		for _, holding := range held {
			if holding.From <= reached && holding.To > reached {
				reached, grown = holding.To, true
			}
		}
	}
	return reached >= layers
}

func containsAll(held, wanted []chicoryhall.LayerRange) bool {
	for _, holding := range wanted {
		if !slices.Contains(held, holding) {
			return false
		}
	}
	return true
}

// sameRanges tells whether both hold the sameRanges, in any order.
func sameRanges(a, b []chicoryhall.LayerRange) bool {
	return len(a) == len(b) && containsAll(a, b) && containsAll(b, a)
}
