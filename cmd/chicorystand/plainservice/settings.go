package plainservice

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

// Settings describe one VM of a plain service.
type Settings struct {
	ID            chicoryhall.EndpointID    `yaml:"id"`
	Listen        string                    `yaml:"listen"`
	FailureDomain chicoryhall.FailureDomain `yaml:"failureDomain"`
	// ServiceTime is the time that one call takes.
	ServiceTime time.Duration `yaml:"serviceTime"`
	// Concurrent is the most calls at once.
	Concurrent int `yaml:"concurrent"`
	// ReportLag is the age of the load report.
	ReportLag time.Duration `yaml:"reportLag"`
	// Control is the IP:PORT of the control endpoint; empty has none.
	Control string `yaml:"control"`
	// VMList is the IP:PORT where the service registers itself; empty does not.
	VMList string `yaml:"vmList"`
	// Address is what the service registers, where it differs from Listen.
	Address string `yaml:"address"`
	// DrainTimeout bounds the wait for running calls on SIGTERM.
	DrainTimeout time.Duration `yaml:"drainTimeout"`
}

// Defaults are the settings of a service of today's size.
func Defaults() Settings {
	return Settings{
		ServiceTime:  5 * time.Millisecond,
		Concurrent:   64,
		ReportLag:    200 * time.Millisecond,
		DrainTimeout: 30 * time.Second,
	}
}
