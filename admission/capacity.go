package admission

import "chicoryhall.example/chicoryhall"

// plainConcurrency is the number of calls that one endpoint of a plain service runs at once.
const plainConcurrency = 16

// defaultBatch stands for an accelerator kind that the document does not name.
const defaultBatch = 16

// concurrencyLimit is this daemon's share of the streams that the live endpoints can batch.
func concurrencyLimit(document *chicoryhall.Document, view func(chicoryhall.EngineID) chicoryhall.EndpointView,
	daemons int,
) int {
	total := 0.0
	layers := max(1, document.Model.Layers)
	for _, endpoint := range document.Endpoints {
		if view(endpoint.ID).State != chicoryhall.EndpointReady {
			continue
		}
		if document.Kind == chicoryhall.ServicePlain {
			total += plainConcurrency
			continue
		}
		held := max(0, endpoint.To-endpoint.From)
		total += float64(batchOf(document, endpoint.Accelerator)) * float64(held) / float64(layers)
	}
	return max(1, int(total)/max(1, daemons))
}

func batchOf(document *chicoryhall.Document, kind chicoryhall.AcceleratorKind) int {
	for _, accelerator := range document.Accelerators {
		if accelerator.Kind == kind {
			return max(1, accelerator.Batch)
		}
	}
	return defaultBatch
}
