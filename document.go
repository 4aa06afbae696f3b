package chicoryhall

import "time"

// Document describes one service; it is read-only once parsed.
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

// DocumentModel names the weights of a pipeline service.
type DocumentModel struct {
	Name    string `yaml:"name"`
	Version string `yaml:"version"`
	Layers  int    `yaml:"layers"`
	// KVBytes is the KV cache of one position in one layer, in bytes.
	KVBytes int `yaml:"kvBytes"`
	// ActivationBytes is what one engine hands to the next for one token, in bytes.
	ActivationBytes int `yaml:"activationBytes,omitempty"`
	// LayerBytes is the memory of one layer's weights, in bytes; 0 where memory is not planned.
	LayerBytes int64 `yaml:"layerBytes,omitempty"`
	// LoadTime is the time to load all layers at one engine.
	LoadTime time.Duration `yaml:"loadTime,omitempty"`
	// MeanPromptTokens and UsualAnswer are the mean numbers of tokens of a request; 0 where unknown.
	MeanPromptTokens int `yaml:"usualPrompt,omitempty"`
	MeanAnswerTokens int `yaml:"usualAnswer,omitempty"`
}

// DocumentClass is one kind of request of the service.
type DocumentClass struct {
	Name ClassName `yaml:"name"`
	// Priority orders classes; 0 goes first.
	Priority int `yaml:"priority"`
	// Idempotent tells that a request of the class may be run again.
	Idempotent bool `yaml:"idempotent"`
	// Timeout is the deadline of a request that brings none.
	Timeout time.Duration `yaml:"timeout"`
	// TargetLatency is the wanted time to the first token or the answer.
	TargetLatency time.Duration `yaml:"firstToken"`
}

// DocumentOrganisation is one organisation that may call the service.
type DocumentOrganisation struct {
	Name Organisation `yaml:"name"`
	// Credential is "sha256:" and the hex digest of the callers' bearer token.
	Credential string `yaml:"credential"`
	// Share is the weight inside a class under overload.
	Share int `yaml:"share"`
	// RequestsPerSecond bounds the organisation over all daemons together.
	RequestsPerSecond float64 `yaml:"requestsPerSecond"`
}

// DocumentRetries bounds what the router may run again.
type DocumentRetries struct {
	// BudgetPercent is the share of successful requests that may be retried.
	BudgetPercent int `yaml:"budgetPercent"`
	// MaxEndpoints is the most endpoints that one request may meet in one place of its route.
	MaxEndpoints int `yaml:"endpoints"`
}

// DocumentAccelerator gives the speed of one kind for this service.
type DocumentAccelerator struct {
	Kind AcceleratorKind `yaml:"kind"`
	// StepTime is the fixed time of one batched step.
	StepTime time.Duration `yaml:"stepTime"`
	// LayerTokenTime is the time that one layer adds to a step for one token in the batch.
	LayerTokenTime time.Duration `yaml:"layerTime"`
	// MaxBatch is the most streams in one step.
	MaxBatch int `yaml:"batch"`
	// LayerStepTime is the time that one layer adds to a step, however many streams are in it.
	LayerStepTime time.Duration `yaml:"layerStep,omitempty"`
	// PromptTokenTime is the time that one layer takes for one token of a prompt; 0 derives it from LayerTime.
	PromptTokenTime time.Duration `yaml:"promptTime,omitempty"`
	// MemoryBytes holds layers and the KV cache of running requests; 0 where it is not bounded.
	MemoryBytes int64 `yaml:"memoryBytes,omitempty"`
}

// DocumentLink gives the speed between two failure domains; links not named are fast.
type DocumentLink struct {
	From FailureDomain `yaml:"from"`
	To   FailureDomain `yaml:"to"`
	// Delay is the one-way delay.
	Delay time.Duration `yaml:"delay"`
	// BytesPerSecond is the capacity.
	BytesPerSecond int64 `yaml:"bytesPerSecond"`
}

// DocumentEndpoint is one engine or one VM of a plain service.
type DocumentEndpoint struct {
	ID            EndpointID      `yaml:"id"`
	Address       string          `yaml:"address"`
	FailureDomain FailureDomain   `yaml:"failureDomain"`
	Accelerator   AcceleratorKind `yaml:"accelerator,omitempty"`
	// From and To give the range of layers [From,To) that the endpoint shall hold.
	From int `yaml:"from,omitempty"`
	To   int `yaml:"to,omitempty"`
	// Fencing tells that the endpoint refuses orders with an old fencing number.
	Fencing bool `yaml:"fencing,omitempty"`
}

// Accelerator returns what the document says of a kind; false means that it names no such kind.
func (d *Document) Accelerator(kind AcceleratorKind) (DocumentAccelerator, bool) {
	for _, accelerator := range d.Accelerators {
		if accelerator.Kind == kind {
			return accelerator, true
		}
	}
	return DocumentAccelerator{}, false
}

// MemorySlots returns how many requests of usual size fit beside the given number of layers in
// the memory of an accelerator; false means that the document does not bound it.
func (d *Document) MemorySlots(kind AcceleratorKind, layers int) (float64, bool) {
	accelerator, known := d.Accelerator(kind)
	usual := d.Model.MeanPromptTokens + d.Model.MeanAnswerTokens
	if !known || accelerator.MemoryBytes == 0 || usual == 0 || layers <= 0 {
		return 0, false
	}
	free := accelerator.MemoryBytes - int64(layers)*d.Model.LayerBytes
	perRequest := float64(usual) * float64(d.Model.KVBytes) * float64(layers)
	return max(0, float64(free)/perRequest), true
}

// DocumentVersion is one version of a service's document as a daemon applies it.
type DocumentVersion struct {
	Document *Document
	// Version grows by one with each accepted change of the service.
	Version int64
	// Digest is the hex SHA-256 of the document's text.
	Digest string
}

// Documents gives the service documents in force at this daemon.
type Documents interface {
	// Current returns the version in force of one service.
	Current(service ServiceName) (DocumentVersion, bool)
	// All returns every service's version in force, ordered by name.
	All() []DocumentVersion
	// Subscribe calls changed for each version that comes into force from now on.
	Subscribe(changed func(DocumentVersion))
}
