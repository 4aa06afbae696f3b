package plainservice

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

// Settings configures one VM of a plain service.
type Settings struct {
	ID            chicoryhall.EndpointID    `yaml:"id"`
	Listen        string                    `yaml:"listen"`
	FailureDomain chicoryhall.FailureDomain `yaml:"failureDomain"`
	// ServiceTime is the time that one call takes.
	ServiceTime time.Duration `yaml:"serviceTime"`
	// MaxConcurrent is the maximum number of concurrent calls.
	MaxConcurrent int `yaml:"concurrent"`
	// ReportLag is the age of the load report that is served.
	ReportLag time.Duration `yaml:"reportLag"`
	// Control is the IP:PORT of the control endpoint, or empty.
	Control string `yaml:"control"`
	// VMList is the IP:PORT of the VM list in which the service registers itself, or empty.
	VMList string `yaml:"vmList"`
	// Address is the address to register, if it differs from Listen.
	Address string `yaml:"address"`
	// DrainTimeout bounds the wait for running calls after SIGTERM.
	DrainTimeout time.Duration `yaml:"drainTimeout"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		ServiceTime:   5 * time.Millisecond,
		MaxConcurrent: 64,
		ReportLag:     200 * time.Millisecond,
		DrainTimeout:  30 * time.Second,
	}
}
