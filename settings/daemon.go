package settings

import (
	"cmp"
	"time"

	"chicoryhall.example/chicoryhall"
)

// Daemon is the settings file of one chicoryhall daemon.
type Daemon struct {
	ID            chicoryhall.DaemonID      `yaml:"id"`
	Region        chicoryhall.Region        `yaml:"region"`
	FailureDomain chicoryhall.FailureDomain `yaml:"failureDomain"`
	Listen        Listen                    `yaml:"listen"`
	// Advertise holds the addresses to give to peers, where they differ from Listen.
	Advertise Advertise `yaml:"advertise,omitempty"`
	// Seeds are the peer addresses asked first for the other members.
	Seeds    []string `yaml:"seeds"`
	Platform Platform `yaml:"platform"`
	TLS      TLS      `yaml:"tls,omitempty"`
	// OperatorTokensFile names a file of lines "TEAM TOKEN"; the environment variable
	// CHICORYHALL_OPERATOR_TOKENS holds the same lines and goes first.
	OperatorTokensFile string `yaml:"operatorTokensFile,omitempty"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration `yaml:"drainTimeout"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"logLevel,omitempty"`
	// Router is flow, or roundRobin or leastLoad for comparison; empty means flow.
	Router string `yaml:"router,omitempty"`
}

// Listen holds the daemon's own addresses, each IP:PORT.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
}

// Advertise holds addresses as other daemons reach them, each IP:PORT; empty means that of Listen.
type Advertise struct {
	Callers string `yaml:"callers,omitempty"`
	Peers   string `yaml:"peers,omitempty"`
}

// CallerAddress returns the address at which other daemons reach the callers' interface.
func (d *Daemon) CallerAddress() string {
	return cmp.Or(d.Advertise.Callers, d.Listen.Callers)
}

// PeerAddress returns the address at which other daemons reach this one.
func (d *Daemon) PeerAddress() string {
	return cmp.Or(d.Advertise.Peers, d.Listen.Peers)
}

// Platform holds the addresses of the platform's services, each IP:PORT.
type Platform struct {
	Table   string `yaml:"table"`
	Objects string `yaml:"objects"`
	Weights string `yaml:"weights"`
	VMList  string `yaml:"vmList"`
}

// TLS names the files for callers' and operators' connections; empty means plain TCP.
type TLS struct {
	Certificate string `yaml:"certificate,omitempty"`
	Key         string `yaml:"key,omitempty"`
}
