package document

import (
	"fmt"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/strict"
)

func checkEndpoints(file *strict.File, d *chicoryhall.Document) {
	if file.IsValid("endpoints") && len(d.Endpoints) == 0 {
		file.AddError("endpoints", "the list is empty; write at least one endpoint")
	}
	ids := newNameChecker(file)
	addresses := map[string]int{}
	for i, endpoint := range d.Endpoints {
		path := fmt.Sprintf("endpoints[%d]", i)
		if !file.IsValid(path) {
			continue
		}
		ids.check(path+".id", string(endpoint.ID))
		file.CheckName(path+".failureDomain", string(endpoint.FailureDomain))
		file.CheckAddress(path+".address", endpoint.Address)
		if other, duplicate := addresses[endpoint.Address]; duplicate && file.IsValid(path+".address") {
			file.AddError(path+".address", "%s is also the address of endpoints[%d]; write another", endpoint.Address, other)
		}
		addresses[endpoint.Address] = i
		if !file.IsValid("kind") {
			continue
		}
		if d.Kind == chicoryhall.ServicePipeline {
			checkEngine(file, d, path, endpoint)
		} else if endpoint.From != 0 || endpoint.To != 0 {
			file.AddError(path, "a plain endpoint holds no layers; leave from and to out")
		}
	}
}

func checkEngine(file *strict.File, d *chicoryhall.Document, path string, endpoint chicoryhall.DocumentEndpoint) {
	if !hasAccelerator(d, endpoint.Accelerator) {
		file.AddError(path+".accelerator", "the kind %q is not in accelerators; write one of them", endpoint.Accelerator)
	}
	layers := d.Model.Layers
	if layers < 1 {
		return
	}
	if endpoint.From < 0 || endpoint.From >= layers {
		file.AddError(path+".from", "%d is no layer; write a number from 0 to %d", endpoint.From, layers-1)
		return
	}
	if endpoint.To <= endpoint.From || endpoint.To > layers {
		file.AddError(path+".to", "%d does not end the range; write a number from %d to %d", endpoint.To, endpoint.From+1, layers)
	}
}

func hasAccelerator(d *chicoryhall.Document, kind chicoryhall.AcceleratorKind) bool {
	for i := range d.Accelerators {
		if d.Accelerators[i].Kind == kind {
			return true
		}
	}
	return false
}

// checkCoverage reports a model that no chain of engines covers completely, and
// warns of each engine without which no chain covers the whole model.
func checkCoverage(file *strict.File, d *chicoryhall.Document) {
	if !file.IsValid("kind") || d.Kind != chicoryhall.ServicePipeline || len(d.Endpoints) == 0 || !file.IsValid("model.layers") {
		return
	}
	covered := CoveredLayers(d.Endpoints, "")
	if covered < d.Model.Layers {
		file.AddError("endpoints", "no chain of engines covers the model: layers %d to %d have none; "+
			"add an engine with from: %d", covered, d.Model.Layers, covered)
		return
	}
	for i := range d.Endpoints {
		id := d.Endpoints[i].ID
		if CoveredLayers(d.Endpoints, id) < d.Model.Layers {
			file.AddWarning(fmt.Sprintf("endpoints[%d]", i), "no chain is left without %s; add a second engine for its layers", id)
		}
	}
}

// CoveredLayers returns the number of layers that the longest chain of engines covers. A chain starts at layer 0, and
// each of its engines (the endpoints of a pipeline service) starts at the layer where the previous one ends.
// The engine with the ID excluded is ignored, unless that is "".
func CoveredLayers(endpoints []chicoryhall.DocumentEndpoint, excluded chicoryhall.EndpointID) int {
	covered := map[int]bool{0: true} // covered[n] is set if a chain covers exactly layers 0 to n-1
	for extended := true; extended; {
		extended = false
		for i := range endpoints {
			e := &endpoints[i]
			if e.ID != excluded && e.To > e.From && covered[e.From] && !covered[e.To] {
				covered[e.To] = true
				extended = true
			}
		}
	}
	longest := 0
	for layers := range covered {
		longest = max(longest, layers)
	}
	return longest
}
