package pipeline

import (
	"math"
	"time"

	"chicoryhall.example/chicoryhall"
	protocol "chicoryhall.example/chicoryhall/engine"
)

const (
	// defaultActivationBytes is the size of one token's activation when the document gives none.
	defaultActivationBytes = 8 << 10
	// defaultLinkDelay is the one-way delay of a link that the document does not name.
	defaultLinkDelay = 500 * time.Microsecond
	// localDelay is the one-way delay inside a failure domain.
	localDelay = 100 * time.Microsecond
	// defaultLinkBytesPerSecond is the capacity of a link that the document does not name.
	defaultLinkBytesPerSecond = 1.25e9
	// defaultStepTime, defaultLayerTime and defaultBatch stand for an accelerator kind that
	// the document does not name.
	defaultStepTime       = 2 * time.Millisecond
	defaultLayerTokenTime = 20 * time.Microsecond
	defaultMaxBatch       = 16
	// residualStepFraction is the part of a running step that a new token waits for on average.
	residualStepFraction = 0.5
)

// timings is the time of one batched step of an accelerator kind, in nanoseconds.
type timings struct {
	stepTime       float64
	layerTokenTime float64
	maxBatch       float64
	// layerStepTime is what each layer adds to a step, prompt its time for one token of a prompt.
	layerStepTime   float64
	promptTokenTime float64
}

// timingsByKind gives the speed of each accelerator kind of a document.
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

func (t timingsByKind) of(kind chicoryhall.AcceleratorKind) timings {
	if s, ok := t[kind]; ok {
		return s
	}
	return timings{
		stepTime: float64(defaultStepTime), layerTokenTime: float64(defaultLayerTokenTime), maxBatch: defaultMaxBatch,
		promptTokenTime: float64(defaultLayerTokenTime) / protocol.PrefillSpeedup,
	}
}

// promptTokenTimeOf is the time that one layer takes for one token of a prompt.
func promptTokenTimeOf(accelerator chicoryhall.DocumentAccelerator) float64 {
	if accelerator.PromptTokenTime > 0 {
		return float64(accelerator.PromptTokenTime)
	}
	return float64(accelerator.LayerTokenTime) / protocol.PrefillSpeedup
}

// batchTime is the time of one step over the given layers with so many streams in it.
func (s timings) batchTime(layers int, streams float64) float64 {
	return s.stepTime + float64(layers)*(s.layerStepTime+s.layerTokenTime*streams)
}

// tokensPerSecond is the rate of one engine that runs the given layers with full batches.
func (s timings) tokensPerSecond(layers int) float64 {
	return s.maxBatch / s.batchTime(layers, s.maxBatch) * float64(time.Second)
}

// tokenTime is the expected time that one tokenTime spends at an engine with other tokens in its batch.
func (s timings) tokenTime(layers int, others float64) float64 {
	present := others + 1
	batch := math.Min(present, s.maxBatch)
	step := s.batchTime(layers, batch)
	rounds := math.Max(1, present/s.maxBatch)
	residual := residualStepFraction * math.Min(1, others)
	return step * (rounds + residual)
}

// prefillTime is the time to build the KV of positions in the given layers.
func (s timings) prefillTime(layers, positions int) float64 {
	return s.stepTime + s.promptTokenTime*float64(layers)*float64(positions)
}

// link is the way between two failure domains; delay in nanoseconds.
type link struct {
	delay          float64
	bytesPerSecond float64
}

// transferTime is the expected time for bytes to arrive.
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
	for _, named := range document.Links {
		if named.From == from && named.To == to {
			return link{delay: float64(named.Delay), bytesPerSecond: math.Max(1, float64(named.BytesPerSecond))}
		}
	}
	if from == to {
		return link{delay: float64(localDelay), bytesPerSecond: defaultLinkBytesPerSecond}
	}
	return link{delay: float64(defaultLinkDelay), bytesPerSecond: defaultLinkBytesPerSecond}
}

// activationBytes is the size of what one engine hands to the next for one token.
func activationBytes(model chicoryhall.DocumentModel) float64 {
	if model.ActivationBytes > 0 {
		return float64(model.ActivationBytes)
	}
	return defaultActivationBytes
}
