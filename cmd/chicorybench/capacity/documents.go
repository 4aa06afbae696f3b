package capacity

import (
	"github.com/goccy/go-yaml"

	"chicoryhall.example/chicoryhall/document"
)

// The names of the measurements for the service documents.
const (
	documentBytes  = "document size"
	documentMemory = "document memory"
	documentTime   = "document check time"
)

func documentExperiments() []Experiment {
	sizes := []int{30, 90, 420}
	return []Experiment{
		{name: documentBytes, unit: "bytes", driver: "engines of the service", sizes: sizes, measure: measureDocumentBytes},
		{name: documentMemory, unit: "bytes", driver: "engines of the service", sizes: sizes, measure: measureDocumentMemory},
		{name: documentTime, unit: "µs", driver: "engines of the service", sizes: sizes, measure: measureDocumentTime},
	}
}

// organisationsPerService is the number of organisations in the document of a service at the design size. It is the
// mean if each model is served by one service and each organisation may call two of them.
const organisationsPerService = 2 * designOrganisations / designModels

// documentText returns the YAML text of a document with the given number of engines.
func documentText(engines int) ([]byte, error) {
	return yaml.Marshal(documentOf(engines, organisationsPerService))
}

func measureDocumentBytes(engines int) (float64, error) {
	text, err := documentText(engines)
	return float64(len(text)), err
}

func measureDocumentMemory(engines int) (float64, error) {
	text, err := documentText(engines)
	if err != nil {
		return 0, err
	}
	bytes := heapBytes(func() any {
		parsed, _ := document.Check("document", text)
		return parsed
	})
	return bytes, nil
}

func measureDocumentTime(engines int) (float64, error) {
	text, err := documentText(engines)
	if err != nil {
		return 0, err
	}
	return microseconds(func() { _, _ = document.Check("document", text) }), nil
}
