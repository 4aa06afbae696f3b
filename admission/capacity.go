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

// roomShares is how many times its equal share of the free room a daemon may take at once: the
// others rarely want theirs at the same moment, and engines refuse what does not fit.
const roomShares = 2

// concurrencyLimit is this daemon's share of the requests that the live endpoints can batch; it
// is at least one. Where memory bounds them, it is what runs and a share of the room that is left.
func concurrencyLimit(document *chicoryhall.Document, view func(chicoryhall.EndpointID) chicoryhall.EndpointView,
	daemons, running int,
) int {
	if room, bounded := memoryRoom(document, view); bounded {
		return running + int(math.Ceil(roomShares*room/float64(max(1, daemons))))
	}
	total := pipelineCapacity(document, view)
	if document.Kind == chicoryhall.ServicePlain {
		total = plainCapacity(document, view)
	}
	return max(1, int(total)/max(1, daemons))
}

func plainCapacity(document *chicoryhall.Document, view func(chicoryhall.EndpointID) chicoryhall.EndpointView) float64 {
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
func pipelineCapacity(document *chicoryhall.Document, view func(chicoryhall.EndpointID) chicoryhall.EndpointView) float64 {
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

// memoryRoom is the number of usual requests for which the engines' memory has room at every layer
// beside what is expected to be there; false means that the document does not bound memory.
func memoryRoom(document *chicoryhall.Document, view func(chicoryhall.EndpointID) chicoryhall.EndpointView) (float64, bool) {
	room := make([]float64, max(1, document.Model.Layers))
	isBounded := false
	for _, endpoint := range document.Endpoints {
		places, bounded := document.MemorySlots(endpoint.Accelerator, endpoint.To-endpoint.From)
		if !bounded {
			continue
		}
		isBounded = true
		seen := view(endpoint.ID)
		if seen.State != chicoryhall.EndpointReady || seen.Full {
			continue
		}
		places = math.Min(places, float64(batchOf(document, endpoint.Accelerator)))
		free := math.Max(0, places-float64(seen.Load.Running+seen.InFlight))
		for layer := max(0, endpoint.From); layer < min(len(room), endpoint.To); layer++ {
			room[layer] += free
		}
	}
	return slices.Min(room), isBounded
}

func batchOf(document *chicoryhall.Document, kind chicoryhall.AcceleratorKind) int {
	for _, accelerator := range document.Accelerators {
		if accelerator.Kind == kind {
			return max(1, accelerator.MaxBatch)
		}
	}
	return defaultBatch
}
