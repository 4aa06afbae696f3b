package platform

import "time"

// Settings describe the platform.
type Settings struct {
	// Listen are the addresses, each IP:PORT; every service answers on all of them.
	Listen []string `yaml:"listen"`
	// Control is the IP:PORT of the control endpoint; empty has none.
	Control string `yaml:"control"`
	// WritesPerSecond and ReadsPerSecond bound the table and the object store, each for itself.
	WritesPerSecond float64 `yaml:"writesPerSecond"`
	ReadsPerSecond  float64 `yaml:"readsPerSecond"`
	// LayerBytes is the size of one layer's weights.
	LayerBytes int `yaml:"layerBytes"`
	// WeightBytesPerSecond is the rate of the weight store over all readers together.
	WeightBytesPerSecond float64 `yaml:"weightBytesPerSecond"`
	// VMLag is the age of the list of VMs.
	VMLag time.Duration `yaml:"vmLag"`
}

// Defaults are the settings of a platform of today's size.
func Defaults() Settings {
	return Settings{
		WritesPerSecond:      400,
		ReadsPerSecond:       2000,
		LayerBytes:           1 << 18,
		WeightBytesPerSecond: 64 << 20,
		VMLag:                time.Second,
	}
}
