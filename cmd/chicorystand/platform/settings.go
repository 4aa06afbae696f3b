package platform

import "time"

// Settings configures a Platform.
type Settings struct {
	// Listen are the addresses, each IP:PORT. Every service is available on all of them, so that a test can put a proxy
	// in front of each service.
	Listen []string `yaml:"listen"`
	// Control is the IP:PORT of the control endpoint (see package control), or empty for none. The Platform does not
	// open it; package entry does.
	Control string `yaml:"control"`
	// WritesPerSecond and ReadsPerSecond are rate limits. The table and the object store each have their own.
	WritesPerSecond float64 `yaml:"writesPerSecond"`
	ReadsPerSecond  float64 `yaml:"readsPerSecond"`
	// LayerBytes is the size of one layer's weights.
	LayerBytes int `yaml:"layerBytes"`
	// WeightBytesPerSecond is the bandwidth of the weight store, shared by all readers.
	WeightBytesPerSecond float64 `yaml:"weightBytesPerSecond"`
	// VMLag is how long a change of the VM list takes to be served.
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
