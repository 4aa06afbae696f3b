package admission

import (
	"math"
	"slices"

	"chicoryhall.example/chicoryhall"
)

// slotsPerPlainEndpoint is the number of calls that one endpoint of a plain service runs at once.
const slotsPerPlainEndpoint = 16

// defaultMaxBatch is the batch size assumed for an accelerator kind that the document does not
// describe.
const defaultMaxBatch = 16

// streamsPerSlot is the number of running streams for each slot in a batch. With one, the random
// choice of endpoints by the router leaves slots empty while streams queue elsewhere.
const streamsPerSlot = 2

// memoryOvercommit is the factor by which a daemon's limit may exceed its equal share of the free
// memory. Other daemons rarely need their shares at the same moment, and endpoints refuse what does
// not fit.
const memoryOvercommit = 2

// concurrencyLimit returns the number of requests that this daemon may run at once. If the document
// gives the sizes to compute free memory, or the slots of plain endpoints, it is the number of this
// daemon's running requests plus memoryOvercommit times its equal share of the further requests for
// which there is room, which may be none. Otherwise it is the daemon's equal share of the capacity that pipelineCapacity or
// shareOfFree returns how many of the free slots a daemon may use.
func shareOfFree(free float64, daemons int) int {
	return int(math.Ceil(memoryOvercommit * free / float64(max(1, daemons))))
}

// freePlainSlots returns the number of free slots of the ready endpoints of a plain service, or false if the service is no plain
// one or the slots of one of its endpoints are not known.
func freePlainSlots(document *chicoryhall.Document, view func(chicoryhall.EndpointID) chicoryhall.EndpointView) (float64, bool) {
	if document.Kind != chicoryhall.ServicePlain || len(document.Endpoints) == 0 {
		return 0, false
	}
	free := 0.0
	for _, endpoint := range document.Endpoints {
		if endpoint.Slots <= 0 {
			return 0, false
		}
		current := view(endpoint.ID)
		if current.State == chicoryhall.EndpointReady && !current.Full {
			free += math.Max(0, limited(float64(endpoint.Slots), current)-float64(current.Load.Running+current.InFlight))
		}
	}
	return free, true
}

// plainCapacity returns, at least one.
func concurrencyLimit(document *chicoryhall.Document, view func(chicoryhall.EndpointID) chicoryhall.EndpointView,
	daemons, running int,
) int {
	if free, bounded := freeMemorySlots(document, view); bounded {
		return running + shareOfFree(free, daemons)
	}
	if free, listed := freePlainSlots(document, view); listed {
		return max(1, running+shareOfFree(free, daemons)) // Without any request, nothing would tell that slots are free again.
	}
	total := pipelineCapacity(document, view)
	if document.Kind == chicoryhall.ServicePlain {
		total = plainCapacity(document, view)
	}
	return max(1, int(total)/max(1, daemons))
}

// plainCapacity returns the number of calls that the ready endpoints of a plain service run at
// once.
func plainCapacity(document *chicoryhall.Document, view func(chicoryhall.EndpointID) chicoryhall.EndpointView) float64 {
	total := 0.0
	for _, endpoint := range document.Endpoints {
		if view(endpoint.ID).State == chicoryhall.EndpointReady {
			total += slotsPerPlainEndpoint
		}
	}
	return total
}

// pipelineCapacity returns the number of streams that the ready endpoints of a pipeline run at
// once. A stream is at one layer at a time. So the slots of an endpoint's batch are divided equally
// among its layers, and the layer with the fewest slots is full when the number of streams is its
// slots times the number of layers. The result is streamsPerSlot times that number.
func pipelineCapacity(document *chicoryhall.Document, view func(chicoryhall.EndpointID) chicoryhall.EndpointView) float64 {
	slots := make([]float64, max(1, document.Model.Layers))
	for _, endpoint := range document.Endpoints {
		if view(endpoint.ID).State != chicoryhall.EndpointReady {
			continue
		}
		from, to := max(0, endpoint.From), min(len(slots), endpoint.To)
		for layer := from; layer < to; layer++ {
			slots[layer] += float64(maxBatchOf(document, endpoint.Accelerator)) / float64(to-from)
		}
	}
	least := math.Inf(1)
	for _, n := range slots {
		least = math.Min(least, n)
	}
	return streamsPerSlot * least * float64(len(slots))
}

// freeMemorySlots returns for how many further requests of mean size the ready endpoints have
// memory, at the layer where they have memory for the fewest. No endpoint counts for more requests
// than its largest batch. It returns false if the document lacks the sizes to compute it.
func freeMemorySlots(document *chicoryhall.Document, view func(chicoryhall.EndpointID) chicoryhall.EndpointView) (float64, bool) {
	perLayer := make([]float64, max(1, document.Model.Layers))
	isBounded := false
	for _, endpoint := range document.Endpoints {
		slots, bounded := document.MemorySlots(endpoint.Accelerator, endpoint.To-endpoint.From)
		if !bounded {
			continue
		}
		isBounded = true
		current := view(endpoint.ID)
		if current.State != chicoryhall.EndpointReady || current.Full {
			continue
		}
		slots = limited(math.Min(slots, float64(maxBatchOf(document, endpoint.Accelerator))), current)
		free := math.Max(0, slots-float64(current.Load.Running+current.InFlight))
		for layer := max(0, endpoint.From); layer < min(len(perLayer), endpoint.To); layer++ {
			perLayer[layer] += free
		}
	}
	return slices.Min(perLayer), isBounded
}

// limited returns the slots of an endpoint, or the limit that it is found to have if that is lower.
func limited(slots float64, current chicoryhall.EndpointView) float64 {
	if current.Limit > 0 {
		return math.Min(slots, current.Limit)
	}
	return slots
}

// maxBatchOf returns the largest batch of an accelerator kind.
func maxBatchOf(document *chicoryhall.Document, kind chicoryhall.AcceleratorKind) int {
	for _, accelerator := range document.Accelerators {
		if accelerator.Kind == kind {
			return max(1, accelerator.MaxBatch)
		}
	}
	return defaultMaxBatch
}
