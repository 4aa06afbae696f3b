package admission

import (
	"math"
	"slices"

	"chicoryhall.example/chicoryhall"
)

// plainConcurrency is the number of calls that one endpoint of a plain service runs at once.
const plainConcurrency = 16

// defaultBatch stands for an accelerator kind that the document does not name.
const defaultBatch = 16

// streamsPerPlace is the number of running streams for each place in a batch. With one, the
// random choice of engines leaves places empty while streams queue elsewhere.
const streamsPerPlace = 2

// concurrencyLimit is this daemon's share of the requests that the live endpoints can batch; it
// is at least one.
func concurrencyLimit(document *chicoryhall.Document, view func(chicoryhall.EngineID) chicoryhall.EndpointView,
	daemons int,
) int {
	total := pipelineCapacity(document, view)
	if held, bounded := memoryCapacity(document, view); bounded {
		total = held
	}
	if document.Kind == chicoryhall.ServicePlain {
		total = plainCapacity(document, view)
	}
	return max(1, int(total)/max(1, daemons))
}

func plainCapacity(document *chicoryhall.Document, view func(chicoryhall.EngineID) chicoryhall.EndpointView) float64 {
	total := 0.0
	for _, endpoint := range document.Endpoints {
		if view(endpoint.ID).State == chicoryhall.EndpointReady {
			total += plainConcurrency
		}
	}
	return total
}

// pipelineCapacity is the number of streams that fills the batches of the layers with the fewest
// places: a stream is at one layer at a time, and an engine's places spread over its layers.
func pipelineCapacity(document *chicoryhall.Document, view func(chicoryhall.EngineID) chicoryhall.EndpointView) float64 {
	places := make([]float64, max(1, document.Model.Layers))
	for _, endpoint := range document.Endpoints {
		if view(endpoint.ID).State != chicoryhall.EndpointReady {
			continue
		}
		from, to := max(0, endpoint.From), min(len(places), endpoint.To)
		for layer := from; layer < to; layer++ {
			places[layer] += float64(batchOf(document, endpoint.Accelerator)) / float64(to-from)
		}
	}
	least := math.Inf(1)
	for _, p := range places {
		least = math.Min(least, p)
	}
	return streamsPerPlace * least * float64(len(places))
}

// memoryCapacity is the number of usual requests for which the engines' memory has room at every
// layer; false means that the document does not bound memory.
func memoryCapacity(document *chicoryhall.Document, view func(chicoryhall.EngineID) chicoryhall.EndpointView) (float64, bool) {
	places := make([]float64, max(1, document.Model.Layers))
	isBounded := false
	for _, endpoint := range document.Endpoints {
		held, bounded := document.MemoryPlaces(endpoint.Accelerator, endpoint.To-endpoint.From)
		if !bounded {
			continue
		}
		isBounded = true
		if view(endpoint.ID).State != chicoryhall.EndpointReady {
			continue
		}
		held = math.Min(held, float64(batchOf(document, endpoint.Accelerator)))
		for layer := max(0, endpoint.From); layer < min(len(places), endpoint.To); layer++ {
			places[layer] += held
		}
	}
	return slices.Min(places), isBounded
}

func batchOf(document *chicoryhall.Document, kind chicoryhall.AcceleratorKind) int {
	for _, accelerator := range document.Accelerators {
		if accelerator.Kind == kind {
			return max(1, accelerator.Batch)
		}
	}
	return defaultBatch
}
