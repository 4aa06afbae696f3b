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
	// fastLinkDelay is the one-way delay of a link that the document does not name.
	fastLinkDelay = 500 * time.Microsecond
	// localDelay is the one-way delay inside a failure domain.
	localDelay = 100 * time.Microsecond
	// fastLinkBytesPerSecond is the capacity of a link that the document does not name.
	fastLinkBytesPerSecond = 1.25e9
	// defaultStepTime, defaultLayerTime and defaultBatch stand for an accelerator kind that
	// the document does not name.
	defaultStepTime  = 2 * time.Millisecond
	defaultLayerTime = 20 * time.Microsecond
	defaultBatch     = 16
	// residualStep is the part of a running step that a new token waits for on average.
	residualStep = 0.5
)

// speed is the time of one batched step of an accelerator kind, in nanoseconds.
type speed struct {
	step  float64
	layer float64
	batch float64
	// layerStep is what each layer adds to a step, prompt its time for one token of a prompt.
	layerStep float64
	prompt    float64
}

// speedTable gives the speed of each accelerator kind of a document.
type speedTable map[chicoryhall.AcceleratorKind]speed

func speedsOf(document *chicoryhall.Document) speedTable {
	table := make(speedTable, len(document.Accelerators))
	for _, accelerator := range document.Accelerators {
		table[accelerator.Kind] = speed{
			step:  float64(accelerator.StepTime),
			layer: float64(accelerator.LayerTokenTime),
			batch: float64(max(1, accelerator.MaxBatch)),

			layerStep: float64(accelerator.LayerStepTime),
			prompt:    promptTime(accelerator),
		}
	}
	return table
}

func (t speedTable) of(kind chicoryhall.AcceleratorKind) speed {
	if s, ok := t[kind]; ok {
		return s
	}
	return speed{
		step: float64(defaultStepTime), layer: float64(defaultLayerTime), batch: defaultBatch,
		prompt: float64(defaultLayerTime) / protocol.PrefillSpeedup,
	}
}

// promptTime is the time that one layer takes for one token of a prompt.
func promptTime(accelerator chicoryhall.DocumentAccelerator) float64 {
	if accelerator.PromptTokenTime > 0 {
		return float64(accelerator.PromptTokenTime)
	}
	return float64(accelerator.LayerTokenTime) / protocol.PrefillSpeedup
}

// stepTime is the time of one step over the given layers with so many streams in it.
func (s speed) stepTime(layers int, streams float64) float64 {
	return s.step + float64(layers)*(s.layerStep+s.layer*streams)
}

// tokensPerSecond is the rate of one engine that runs the given layers with full batches.
func (s speed) tokensPerSecond(layers int) float64 {
	return s.batch / s.stepTime(layers, s.batch) * float64(time.Second)
}

// token is the expected time that one token spends at an engine with other tokens in its batch.
func (s speed) token(layers int, others float64) float64 {
	present := others + 1
	batch := math.Min(present, s.batch)
	step := s.stepTime(layers, batch)
	rounds := math.Max(1, present/s.batch)
	residual := residualStep * math.Min(1, others)
	return step * (rounds + residual)
}

// prefill is the time to build the KV of positions in the given layers.
func (s speed) prefill(layers, positions int) float64 {
	return s.step + s.prompt*float64(layers)*float64(positions)
}

// link is the way between two failure domains; delay in nanoseconds.
type link struct {
	delay          float64
	bytesPerSecond float64
}

// send is the expected time for bytes to arrive.
func (l link) send(bytes float64) float64 {
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
		return link{delay: float64(localDelay), bytesPerSecond: fastLinkBytesPerSecond}
	}
	return link{delay: float64(fastLinkDelay), bytesPerSecond: fastLinkBytesPerSecond}
}

// activationBytes is the size of what one engine hands to the next for one token.
func activationBytes(model chicoryhall.DocumentModel) float64 {
	if model.ActivationBytes > 0 {
		return float64(model.ActivationBytes)
	}
	return defaultActivationBytes
}
