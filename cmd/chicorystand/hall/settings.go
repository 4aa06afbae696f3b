package hall

import (
	"os"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Settings describe one stand-in: every address is IP:PORT.
type Settings struct {
	Store   string `yaml:"store"`
	Control string `yaml:"control"`
	// Configuration is the text that the operator writes first.
	Configuration string           `yaml:"configuration"`
	Model         Model            `yaml:"model"`
	Engines       []EngineSettings `yaml:"engines"`
}

// Model is how all engines work; times are of the whole model in milliseconds.
type Model struct {
	Name       string  `yaml:"name"`
	Layers     int     `yaml:"layers"`
	LayerBytes float64 `yaml:"layerBytes"`
	// TokenBytes is the memory of one token over all layers.
	TokenBytes float64 `yaml:"tokenBytes"`
	StepMillis float64 `yaml:"stepMillis"`
	// PerRequestMillis is what each request in progress adds to a step.
	PerRequestMillis float64 `yaml:"perRequestMillis"`
	ReadPerSecond    float64 `yaml:"readPerSecond"`
	LoadMillis       float64 `yaml:"loadMillis"`
	TokensPerEvent   int     `yaml:"tokensPerEvent"`
	StallMillis      float64 `yaml:"stallMillis"`
}

// EngineSettings is one endpoint; one without a kind is plain.
type EngineSettings struct {
	ID      string `yaml:"id"`
	Address string `yaml:"address"`
	Service string `yaml:"service"`
	Domain  string `yaml:"domain"`
	Kind    string `yaml:"kind,omitempty"`
	// MemoryBytes holds layers and the tokens of running requests, Pace multiplies the times of steps.
	MemoryBytes float64 `yaml:"memoryBytes,omitempty"`
	Pace        float64 `yaml:"pace,omitempty"`
	Slots       int     `yaml:"slots"`
	// WorkMillis is the time of a plain endpoint's request.
	WorkMillis float64 `yaml:"workMillis,omitempty"`
}

// Load reads settings.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	var s Settings
	if err := yaml.UnmarshalWithOptions(text, &s, yaml.Strict()); err != nil {
		return nil, errors.Wrapf(err, "read settings %s", path)
	}
	return &s, nil
}
