package chicoryhall

import "time"

// Document is the configuration of one service; it is read-only once parsed.
type Document struct {
	Service       ServiceName            `yaml:"service"`
	Team          string                 `yaml:"team"`
	Kind          ServiceKind            `yaml:"kind"`
	Model         DocumentModel          `yaml:"model,omitempty"`
	Classes       []DocumentClass        `yaml:"classes"`
	Organisations []DocumentOrganisation `yaml:"organisations"`
	Retries       DocumentRetries        `yaml:"retries"`
	Accelerators  []DocumentAccelerator  `yaml:"accelerators,omitempty"`
	Links         []DocumentLink         `yaml:"links,omitempty"`
	Endpoints     []DocumentEndpoint     `yaml:"endpoints"`
}

// DocumentModel describes the model of a pipeline service.
type DocumentModel struct {
	Name    string `yaml:"name"`
	Version string `yaml:"version"`
	Layers  int    `yaml:"layers"`
	// KVBytes is the size of the KV of one token in one layer, in bytes.
	KVBytes int `yaml:"kvBytes"`
	// ActivationBytes is the size of what one engine sends to the next for one token, in bytes.
	ActivationBytes int `yaml:"activationBytes,omitempty"`
	// LayerBytes is the size of one layer's weights, in bytes; 0 if unknown.
	LayerBytes int64 `yaml:"layerBytes,omitempty"`
	// LoadTime is the time that one engine needs to load all layers. The router does not use it.
	LoadTime time.Duration `yaml:"loadTime,omitempty"`
	// MeanPromptTokens and MeanAnswerTokens are the mean numbers of tokens in the prompt and in the
	// answer of a request; 0 if unknown.
	MeanPromptTokens int `yaml:"usualPrompt,omitempty"`
	MeanAnswerTokens int `yaml:"usualAnswer,omitempty"`
}

// DocumentClass is one kind of request of the service.
type DocumentClass struct {
	Name ClassName `yaml:"name"`
	// Priority orders classes; 0 is the highest priority.
	Priority int `yaml:"priority"`
	// Idempotent means that a request of the class may run more than once.
	Idempotent bool `yaml:"idempotent"`
	// Timeout applies to requests that state no timeout of their own.
	Timeout time.Duration `yaml:"timeout"`
	// TargetLatency is the desired time to the first token of a stream or to a plain answer.
	TargetLatency time.Duration `yaml:"firstToken"`
}

// DocumentOrganisation is one organisation that may call the service.
type DocumentOrganisation struct {
	Name Organisation `yaml:"name"`
	// Credential is "sha256:" followed by the hex digest of the callers' bearer token.
	Credential string `yaml:"credential"`
	// Share is the organisation's weight within a class under overload.
	Share int `yaml:"share"`
	// RequestsPerSecond limits the organisation's rate, summed over all daemons.
	RequestsPerSecond float64 `yaml:"requestsPerSecond"`
}

// DocumentRetries limits the retries of a service's requests.
type DocumentRetries struct {
	// BudgetPercent is the number of retries allowed for every 100 successful requests. Requests to
	// pipeline services use up this budget only with retries after an engine's refusal, not with
	// those after a failure.
	BudgetPercent int `yaml:"budgetPercent"`
	// MaxEndpoints is the number of endpoints that one request may try: for any one layer of the
	// model for a pipeline service, in total for a plain service.
	MaxEndpoints int `yaml:"endpoints"`
}

// DocumentAccelerator gives the speed and memory of one kind of accelerator for this service. A
// step generates one token for each stream of the batch. It takes StepTime, and for each layer
// LayerStepTime and LayerTokenTime per stream.
type DocumentAccelerator struct {
	Kind AcceleratorKind `yaml:"kind"`
	// StepTime is the fixed time of one step.
	StepTime time.Duration `yaml:"stepTime"`
	// LayerTokenTime is the time that one layer adds to a step for each stream of the batch.
	LayerTokenTime time.Duration `yaml:"layerTime"`
	// MaxBatch is the largest number of streams in one step.
	MaxBatch int `yaml:"batch"`
	// LayerStepTime is the time that one layer adds to a step, regardless of the number of streams.
	LayerStepTime time.Duration `yaml:"layerStep,omitempty"`
	// PromptTokenTime is the time that one layer takes for one token of a prompt. If it is 0, it is
	// LayerTokenTime divided by engine.PrefillSpeedup.
	PromptTokenTime time.Duration `yaml:"promptTime,omitempty"`
	// MemoryBytes is the memory for layers and for the KV of running requests, in bytes; 0 if
	// unknown, which means no limit.
	MemoryBytes int64 `yaml:"memoryBytes,omitempty"`
}

// DocumentLink describes the network from one failure domain to another, in this direction only.
// Package pipeline has the defaults for pairs without a DocumentLink.
type DocumentLink struct {
	From FailureDomain `yaml:"from"`
	To   FailureDomain `yaml:"to"`
	// Delay is the one-way delay.
	Delay time.Duration `yaml:"delay"`
	// BytesPerSecond is the bandwidth of the link.
	BytesPerSecond int64 `yaml:"bytesPerSecond"`
}

// DocumentEndpoint is one engine or one VM of a plain service.
type DocumentEndpoint struct {
	ID            EndpointID      `yaml:"id"`
	Address       string          `yaml:"address"`
	FailureDomain FailureDomain   `yaml:"failureDomain"`
	Accelerator   AcceleratorKind `yaml:"accelerator,omitempty"`
	// From and To are the range of layers [From,To) that the endpoint is to load.
	From int `yaml:"from,omitempty"`
	To   int `yaml:"to,omitempty"`
	// Slots is the number of calls that an endpoint of a plain service runs at once, or 0 if it is not known.
	Slots int `yaml:"-"`
	// Fencing means that the endpoint refuses orders with an outdated fencing number (see the
	// package comment).
	Fencing bool `yaml:"fencing,omitempty"`
}

// Accelerator returns the document's entry for a kind of accelerator, and whether there is one.
func (d *Document) Accelerator(kind AcceleratorKind) (DocumentAccelerator, bool) {
	for _, accelerator := range d.Accelerators {
		if accelerator.Kind == kind {
			return accelerator, true
		}
	}
	return DocumentAccelerator{}, false
}

// MemorySlots returns how many requests of mean size fit into the memory of an accelerator that has
// loaded the given number of layers. It returns false if the accelerator's memory or the mean size
// is unknown, or if there are no layers.
func (d *Document) MemorySlots(kind AcceleratorKind, layers int) (float64, bool) {
	accelerator, known := d.Accelerator(kind)
	meanTokens := d.Model.MeanPromptTokens + d.Model.MeanAnswerTokens
	if !known || accelerator.MemoryBytes == 0 || meanTokens == 0 || layers <= 0 {
		return 0, false
	}
	free := accelerator.MemoryBytes - int64(layers)*d.Model.LayerBytes
	perRequest := float64(meanTokens) * float64(d.Model.KVBytes) * float64(layers)
	return max(0, float64(free)/perRequest), true
}

// DocumentVersion is one version of a service's document that has come into force.
type DocumentVersion struct {
	Document *Document
	// Version increases by one with each accepted change of the service.
	Version int64
	// Digest is the hex SHA-256 of the document's text.
	Digest string
}

// Documents gives access to the service documents that are in force at this daemon.
type Documents interface {
	// Current returns the version of a service's document that is in force, and whether there is one.
	Current(service ServiceName) (DocumentVersion, bool)
	// All returns the versions in force of all services, ordered by the name of the service.
	All() []DocumentVersion
	// Subscribe calls changed for each version that comes into force from now on.
	Subscribe(changed func(DocumentVersion))
}
