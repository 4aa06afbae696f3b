package hall

import (
	"os"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Settings describe a simulated platform. All addresses are IP:PORT.
type Settings struct {
	Store   string `yaml:"store"`
	Control string `yaml:"control"`
	// StoreRates bound the calls to the store.
	StoreRates StoreRates `yaml:"storeRates,omitempty"`
	// Configuration is the initial configuration that the operator writes to the store.
	Configuration string             `yaml:"configuration"`
	Model         Model              `yaml:"model"`
	Endpoints     []EndpointSettings `yaml:"engines"`
}

// Model describes the model that all engines run. Times are in milliseconds and apply to all layers together.
type Model struct {
	Name       string  `yaml:"name"`
	Layers     int     `yaml:"layers"`
	LayerBytes float64 `yaml:"layerBytes"`
	// TokenBytes is the memory for one token over all layers.
	TokenBytes float64 `yaml:"tokenBytes"`
	// StepMillis is the time for one token without other requests.
	StepMillis float64 `yaml:"stepMillis"`
	// PerRequestMillis is the time that each request in progress adds to the time for one token.
	PerRequestMillis float64 `yaml:"perRequestMillis"`
	// ReadPerSecond is the number of prompt tokens processed per second.
	ReadPerSecond float64 `yaml:"readPerSecond"`
	// LoadMillis is the time for loading all layers.
	LoadMillis     float64 `yaml:"loadMillis"`
	TokensPerEvent int     `yaml:"tokensPerEvent"`
	// StallMillis is how long a stream waits for a failed stage before it is aborted.
	StallMillis float64 `yaml:"stallMillis"`
}

// EndpointSettings describe one endpoint. Kind is the accelerator kind of an engine, and empty for a plain endpoint.
type EndpointSettings struct {
	ID      string `yaml:"id"`
	Address string `yaml:"address"`
	Service string `yaml:"service"`
	Domain  string `yaml:"domain"`
	Kind    string `yaml:"kind,omitempty"`
	// MemoryBytes is the memory for layers and for the tokens of running requests. Pace multiplies the time for each
	// token, so an engine with a higher Pace is slower.
	MemoryBytes float64 `yaml:"memoryBytes,omitempty"`
	Pace        float64 `yaml:"pace,omitempty"`
	Slots       int     `yaml:"slots"`
	// WorkMillis is the time that a plain endpoint takes for a request.
	WorkMillis float64 `yaml:"workMillis,omitempty"`
	// RestartMillis is the time from a crash to the restart, by default that of crashTime.
	RestartMillis float64 `yaml:"restartMillis,omitempty"`
	// NewID gives the endpoint a new ID at each restart.
	NewID bool `yaml:"newId,omitempty"`
	// SilentAfterCrash leaves connections unanswered until the endpoint restarts, where others are reset.
	SilentAfterCrash bool `yaml:"silentAfterCrash,omitempty"`
	// The endpoint refuses PausePercent of the requests, and asks each time for a pause of PauseMillis without any from the
	// same daemon.
	PausePercent int     `yaml:"pausePercent,omitempty"`
	PauseMillis  float64 `yaml:"pauseMillis,omitempty"`
	// AnswerFaults are those of a plain endpoint; without them it answers correctly.
	AnswerFaults *AnswerFaults `yaml:"answerFaults,omitempty"`
}

// Load reads settings from a YAML file.
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
