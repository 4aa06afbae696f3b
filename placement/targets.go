package placement

import (
	"slices"

	"chicoryhall.example/chicoryhall"
)

// targetEndpoint is an endpoint with the wanted layers: all that the documents assign to it.
type targetEndpoint struct {
	endpoint chicoryhall.DocumentEndpoint
	wanted   []chicoryhall.LayerRange
}

// targets returns the endpoints of the failure domain that have layers assigned, in the order of
// the documents.
func (p *Planner) targets(documents []*chicoryhall.Document) []targetEndpoint {
	var targets []targetEndpoint
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
				i = len(targets)
				index[endpoint.ID] = i
				targets = append(targets, targetEndpoint{endpoint: endpoint})
			}
			targets[i].wanted = append(targets[i].wanted, wantedRange(d, endpoint))
		}
	}
	return targets
}

// wantedRange returns the layers that a document assigns to an endpoint.
func wantedRange(d *chicoryhall.Document, endpoint chicoryhall.DocumentEndpoint) chicoryhall.LayerRange {
	return chicoryhall.LayerRange{Model: d.Model.Name, Version: d.Model.Version, From: endpoint.From, To: endpoint.To}
}

// isServable reports whether a chain of endpoints, in any failure domains, holds the version and
// the ranges that the document specifies.
func isServable(d *chicoryhall.Document, reports map[chicoryhall.EndpointID]Report) bool {
	var held []chicoryhall.LayerRange
	for _, endpoint := range d.Endpoints {
		report := reports[endpoint.ID]
		wanted := wantedRange(d, endpoint)
		if report.Usable && slices.Contains(report.Load.LoadedLayers, wanted) {
			held = append(held, wanted)
		}
	}
	return coversAllLayers(held, d.Model.Layers)
}

// coversAllLayers reports whether a chain of the ranges covers all layers of a model: the first one
// begins at layer 0, and each other one begins within or at the end of the one before it.
func coversAllLayers(held []chicoryhall.LayerRange, layers int) bool {
	reached := 0
	for grown := true; grown && reached < layers; {
		grown = false
		for _, r := range held {
			if r.From <= reached && r.To > reached {
				reached, grown = r.To, true
			}
		}
	}
	return reached >= layers
}

// containsAll reports whether held contains all the wanted ranges.
func containsAll(held, wanted []chicoryhall.LayerRange) bool {
	for _, r := range wanted {
		if !slices.Contains(held, r) {
			return false
		}
	}
	return true
}

// sameRanges reports whether both contain the same ranges, in any order.
func sameRanges(a, b []chicoryhall.LayerRange) bool {
	return len(a) == len(b) && containsAll(a, b) && containsAll(b, a)
}
