package pipeline

import (
	"math"
	"time"

	"chicoryhall.example/chicoryhall"
	protocol "chicoryhall.example/chicoryhall/engine"
)

const (
	// defaultActivationBytes is the size of one token's activation if the document does not specify
	// it.
	defaultActivationBytes = 8 << 10
	// defaultLinkDelay is the one-way delay of a link that the document does not describe.
	defaultLinkDelay = 500 * time.Microsecond
	// localDelay is the one-way delay within a failure domain.
	localDelay = 100 * time.Microsecond
	// defaultLinkBytesPerSecond is the capacity, 10 Gbit/s, of a link that the document does not
	// describe.
	defaultLinkBytesPerSecond = 1.25e9
	// defaultStepTime, defaultLayerTokenTime and defaultMaxBatch are used for an accelerator kind
	// that the document does not describe.
	defaultStepTime       = 2 * time.Millisecond
	defaultLayerTokenTime = 20 * time.Microsecond
	defaultMaxBatch       = 16
	// residualStepFraction is the fraction of a running step that a new token waits for on average.
	residualStepFraction = 0.5
)

// timings are the times of an accelerator kind, in nanoseconds, and its largest batch. A step takes
// stepTime, and for each layer layerStepTime and layerTokenTime per token of the batch. A layer
// takes promptTokenTime per token of a prompt.
type timings struct {
	stepTime       float64
	layerTokenTime float64
	maxBatch       float64

	layerStepTime   float64
	promptTokenTime float64
}

// timingsByKind maps the accelerator kinds of a document to their timings.
type timingsByKind map[chicoryhall.AcceleratorKind]timings

func timingsOf(document *chicoryhall.Document) timingsByKind {
	table := make(timingsByKind, len(document.Accelerators))
	for _, accelerator := range document.Accelerators {
		table[accelerator.Kind] = timings{
			stepTime:       float64(accelerator.StepTime),
			layerTokenTime: float64(accelerator.LayerTokenTime),
			maxBatch:       float64(max(1, accelerator.MaxBatch)),

			layerStepTime:   float64(accelerator.LayerStepTime),
			promptTokenTime: promptTokenTimeOf(accelerator),
		}
	}
	return table
}

func (m timingsByKind) of(kind chicoryhall.AcceleratorKind) timings {
	if t, ok := m[kind]; ok {
		return t
	}
	return timings{
		stepTime: float64(defaultStepTime), layerTokenTime: float64(defaultLayerTokenTime), maxBatch: defaultMaxBatch,
		promptTokenTime: float64(defaultLayerTokenTime) / protocol.PrefillSpeedup,
	}
}

// promptTokenTimeOf returns the time that one layer takes for one token of a prompt.
func promptTokenTimeOf(accelerator chicoryhall.DocumentAccelerator) float64 {
	if accelerator.PromptTokenTime > 0 {
		return float64(accelerator.PromptTokenTime)
	}
	return float64(accelerator.LayerTokenTime) / protocol.PrefillSpeedup
}

// batchTime returns the time of one step over the given layers with a batch of the given streams.
func (t timings) batchTime(layers int, streams float64) float64 {
	return t.stepTime + float64(layers)*(t.layerStepTime+t.layerTokenTime*streams)
}

// tokensPerSecond returns the rate of one endpoint that runs the given layers with full batches.
func (t timings) tokensPerSecond(layers int) float64 {
	return t.maxBatch / t.batchTime(layers, t.maxBatch) * float64(time.Second)
}

// tokenTime returns the expected time that one token spends at an endpoint while the given number
// of other tokens are there: the steps until its batch is done, each with as many tokens as fit,
// and the rest of the running step.
func (t timings) tokenTime(layers int, others float64) float64 {
	present := others + 1
	batch := math.Min(present, t.maxBatch)
	step := t.batchTime(layers, batch)
	rounds := math.Max(1, present/t.maxBatch)
	residual := residualStepFraction * math.Min(1, others)
	return step * (rounds + residual)
}

// prefillTime returns the time to build the KV of the given positions in the given layers.
func (t timings) prefillTime(layers, positions int) float64 {
	return t.stepTime + t.promptTokenTime*float64(layers)*float64(positions)
}

// link is the network link between two failure domains. The delay is in nanoseconds.
type link struct {
	delay          float64
	bytesPerSecond float64
}

// transferTime returns the expected time for the given number of bytes to arrive.
func (l link) transferTime(bytes float64) float64 {
	return l.delay + bytes/l.bytesPerSecond*float64(time.Second)
}

// linksOf returns the links between all pairs of domains.
func linksOf(document *chicoryhall.Document, domains []chicoryhall.FailureDomain) [][]link {
	links := make([][]link, len(domains))
	for i := range links {
		links[i] = make([]link, len(domains))
		for j := range links[i] {
			links[i][j] = linkBetween(document, domains[i], domains[j])
		}
	}
	return links
}

func linkBetween(document *chicoryhall.Document, from, to chicoryhall.FailureDomain) link {
	for _, described := range document.Links {
		if described.From == from && described.To == to {
			return link{delay: float64(described.Delay), bytesPerSecond: math.Max(1, float64(described.BytesPerSecond))}
		}
	}
	if from == to {
		return link{delay: float64(localDelay), bytesPerSecond: defaultLinkBytesPerSecond}
	}
	return link{delay: float64(defaultLinkDelay), bytesPerSecond: defaultLinkBytesPerSecond}
}

// activationBytes returns the size of what an endpoint sends to the next one for one token.
func activationBytes(model chicoryhall.DocumentModel) float64 {
	if model.ActivationBytes > 0 {
		return float64(model.ActivationBytes)
	}
	return defaultActivationBytes
}
