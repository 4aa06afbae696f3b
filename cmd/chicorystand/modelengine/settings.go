package modelengine

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

// Settings configures one engine.
type Settings struct {
	ID            chicoryhall.EndpointID      `yaml:"id"`
	Listen        string                      `yaml:"listen"`
	FailureDomain chicoryhall.FailureDomain   `yaml:"failureDomain"`
	Accelerator   chicoryhall.AcceleratorKind `yaml:"accelerator"`
	// StepTime is the fixed time of one batched step.
	StepTime time.Duration `yaml:"stepTime"`
	// LayerTime is the time that one layer adds to a step for one token in the batch.
	LayerTime time.Duration `yaml:"layerTime"`
	// Batch is the maximum number of streams in one step.
	Batch int `yaml:"batch"`
	// KVCapacity is the maximum number of positions held by running and cached streams together.
	KVCapacity int `yaml:"kvCapacity"`
	// KVBytes is the size of a KV export in bytes per position and layer.
	KVBytes int `yaml:"kvBytes"`
	// Queue is the maximum number of open streams, of which at most Batch take part in a step.
	Queue int `yaml:"queue"`
	// ReportLag is the age of the load report that is served.
	ReportLag time.Duration `yaml:"reportLag"`
	// CacheLag is the delay of cache events. CacheLossPercent is the percentage of them that is never published.
	CacheLag         time.Duration `yaml:"cacheLag"`
	CacheLossPercent int           `yaml:"cacheLossPercent"`
	// Holdings are the layers that the engine holds from the start. If Weights is set, it starts to load them then.
	Holdings []Holding `yaml:"holdings"`
	// Fencing makes the engine refuse orders with an outdated fencing number. Without it, they are executed.
	Fencing bool `yaml:"fencing"`
	// Weights is the IP:PORT of the weight store. If it is empty, loading takes no time.
	Weights string `yaml:"weights"`
	// VMList is the IP:PORT of the VM list in which the engine registers itself, or empty.
	VMList string `yaml:"vmList"`
	// Address is the address to register, if it differs from the one listened on.
	Address string `yaml:"address"`
	// Control is the IP:PORT of the control endpoint, or empty.
	Control string `yaml:"control"`
	// DrainTimeout bounds the wait for running streams after SIGTERM.
	DrainTimeout time.Duration `yaml:"drainTimeout"`
}

// Holding is a range of layers [From,To) in the settings.
type Holding struct {
	Model   string `yaml:"model"`
	Version string `yaml:"version"`
	From    int    `yaml:"from"`
	To      int    `yaml:"to"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Accelerator:  "a",
		StepTime:     4 * time.Millisecond,
		LayerTime:    20 * time.Microsecond,
		Batch:        16,
		KVCapacity:   1 << 16,
		KVBytes:      64,
		Queue:        256,
		ReportLag:    200 * time.Millisecond,
		CacheLag:     200 * time.Millisecond,
		DrainTimeout: 30 * time.Second,
	}
}
