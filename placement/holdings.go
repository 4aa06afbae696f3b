package placement

import (
	"slices"

	"chicoryhall.example/chicoryhall"
)

// wantedEngine is one engine with all that the documents want it to hold.
type wantedEngine struct {
	endpoint chicoryhall.DocumentEndpoint
	wanted   []chicoryhall.LayerRange
}

// engines returns the failure domain's engines in the order of the documents.
func (p *Planner) engines(documents []*chicoryhall.Document) []wantedEngine {
	var engines []wantedEngine
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
				engines = append(engines, wantedEngine{endpoint: endpoint})
			}
			engines[i].wanted = append(engines[i].wanted, holdingOf(d, endpoint))
		}
	}
	return engines
}

func holdingOf(d *chicoryhall.Document, endpoint chicoryhall.DocumentEndpoint) chicoryhall.LayerRange {
	return chicoryhall.LayerRange{Model: d.Model.Name, Version: d.Model.Version, From: endpoint.From, To: endpoint.To}
}

// stands tells whether a chain of engines holds the version and the ranges that the document wants.
func stands(d *chicoryhall.Document, reports map[chicoryhall.EndpointID]Report) bool {
	var held []chicoryhall.LayerRange
	for _, endpoint := range d.Endpoints {
		report := reports[endpoint.ID]
		wanted := holdingOf(d, endpoint)
		if report.Known && slices.Contains(report.Load.LoadedLayers, wanted) {
			held = append(held, wanted)
		}
	}
	return covers(held, d.Model.Layers)
}

// covers tells whether a chain of the ranges, each beginning where the one before it ends
// or inside it, reaches from the first to the last layer.
func covers(held []chicoryhall.LayerRange, layers int) bool {
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

func holdsAll(held, wanted []chicoryhall.LayerRange) bool {
	for _, holding := range wanted {
		if !slices.Contains(held, holding) {
			return false
		}
	}
	return true
}

// same tells whether both hold the same, in any order.
func same(a, b []chicoryhall.LayerRange) bool {
	return len(a) == len(b) && holdsAll(a, b) && holdsAll(b, a)
}
