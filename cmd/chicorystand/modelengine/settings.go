package modelengine

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

// Settings describe one engine.
type Settings struct {
	ID            chicoryhall.EndpointID      `yaml:"id"`
	Listen        string                      `yaml:"listen"`
	FailureDomain chicoryhall.FailureDomain   `yaml:"failureDomain"`
	Accelerator   chicoryhall.AcceleratorKind `yaml:"accelerator"`
	// StepTime is the fixed time of one batched step.
	StepTime time.Duration `yaml:"stepTime"`
	// LayerTime is the time that one layer adds to a step for one token in the batch.
	LayerTime time.Duration `yaml:"layerTime"`
	// Batch is the most streams in one step.
	Batch int `yaml:"batch"`
	// KVCapacity is the most positions held, running and cached streams together.
	KVCapacity int `yaml:"kvCapacity"`
	// KVBytes is the size of an export per position and layer.
	KVBytes int `yaml:"kvBytes"`
	// Queue is the most streams at once.
	Queue int `yaml:"queue"`
	// ReportLag is the age of the load report.
	ReportLag time.Duration `yaml:"reportLag"`
	// CacheLag is the delay of cache events; of each hundred CacheLossPercent are never published.
	CacheLag         time.Duration `yaml:"cacheLag"`
	CacheLossPercent int           `yaml:"cacheLossPercent"`
	// Holdings are loaded at the start.
	Holdings []Holding `yaml:"holdings"`
	// Fencing refuses orders with an old fencing number; without it they are obeyed.
	Fencing bool `yaml:"fencing"`
	// Weights is the IP:PORT of the weight store; empty loads at once.
	Weights string `yaml:"weights"`
	// VMList is the IP:PORT where the engine registers itself; empty does not.
	VMList string `yaml:"vmList"`
	// Address is what the engine registers, where it differs from Listen.
	Address string `yaml:"address"`
	// Control is the IP:PORT of the control endpoint; empty has none.
	Control string `yaml:"control"`
	// DrainTimeout bounds the wait for running streams on SIGTERM.
	DrainTimeout time.Duration `yaml:"drainTimeout"`
}

// Holding is one range of layers [From,To) in the settings.
type Holding struct {
	Model   string `yaml:"model"`
	Version string `yaml:"version"`
	From    int    `yaml:"from"`
	To      int    `yaml:"to"`
}

// Defaults are the settings of an engine of today's size.
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
