package plainservice

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

// Settings configures one VM of a plain service.
type Settings struct {
	ID chicoryhall.EndpointID `yaml:"id"`
	// Listen is the IP:PORT for the daemons.
	Listen        string                    `yaml:"listen"`
	FailureDomain chicoryhall.FailureDomain `yaml:"failureDomain"`
	// ServiceTime is the time that one call takes.
	ServiceTime time.Duration `yaml:"serviceTime"`
	// MaxConcurrent is the maximum number of concurrent calls. Further ones are refused.
	MaxConcurrent int `yaml:"concurrent"`
	// ReportLag is the minimum age of the load report that is served, once there is one of that age.
	ReportLag time.Duration `yaml:"reportLag"`
	// Control is the IP:PORT of the control endpoint (see package control), or empty for none.
	Control string `yaml:"control"`
	// VMList is the IP:PORT of the VM list in which the service registers itself, or empty for none.
	VMList string `yaml:"vmList"`
	// Address is the address to register, if it differs from Listen.
	Address string `yaml:"address"`
	// DrainTimeout is the maximum time to wait for running calls after SIGTERM.
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
