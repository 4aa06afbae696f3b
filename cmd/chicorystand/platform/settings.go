package platform

import "time"

// Settings configures a Platform.
type Settings struct {
	// Listen are the addresses, each IP:PORT. Every service is available on all of them.
	Listen []string `yaml:"listen"`
	// Control is the IP:PORT of the control endpoint, or empty.
	Control string `yaml:"control"`
	// WritesPerSecond and ReadsPerSecond are the rate limits of the table and of the object store, separately.
	WritesPerSecond float64 `yaml:"writesPerSecond"`
	ReadsPerSecond  float64 `yaml:"readsPerSecond"`
	// LayerBytes is the size of one layer's weights.
	LayerBytes int `yaml:"layerBytes"`
	// WeightBytesPerSecond is the bandwidth of the weight store, shared by all readers.
	WeightBytesPerSecond float64 `yaml:"weightBytesPerSecond"`
	// VMLag is the age of the VM list that is served.
	VMLag time.Duration `yaml:"vmLag"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		WritesPerSecond:      400,
		ReadsPerSecond:       2000,
		LayerBytes:           1 << 18,
		WeightBytesPerSecond: 64 << 20,
		VMLag:                time.Second,
	}
}
