package settings

import (
	"cmp"
	"time"

	"chicoryhall.example/chicoryhall"
)

// Daemon holds the settings of a daemon whose services are described in documents.
type Daemon struct {
	ID            chicoryhall.DaemonID      `yaml:"id"`
	Region        chicoryhall.Region        `yaml:"region"`
	FailureDomain chicoryhall.FailureDomain `yaml:"failureDomain"`
	Listen        Listen                    `yaml:"listen"`
	// Advertise holds the addresses to advertise to peers where they differ from those in Listen.
	Advertise Advertise `yaml:"advertise,omitempty"`
	// Seeds are the peer addresses from which the other daemons are learnt first.
	Seeds    []string `yaml:"seeds"`
	Platform Platform `yaml:"platform"`
	TLS      TLS      `yaml:"tls,omitempty"`
	// OperatorTokensFile is the path of a file with lines "TEAM TOKEN". The environment variable
	// CHICORYHALL_OPERATOR_TOKENS may hold such lines instead and takes precedence.
	OperatorTokensFile string `yaml:"operatorTokensFile,omitempty"`
	// DrainTimeout bounds the time of a graceful shutdown.
	DrainTimeout time.Duration `yaml:"drainTimeout"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"logLevel,omitempty"`
	// Router is the routing policy of pipelines: flow, or for comparison roundRobin or leastLoad; empty means flow.
	Router string `yaml:"router,omitempty"`
}

// Listen holds the addresses on which the daemon listens, each IP:PORT.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
}

// Advertise holds the addresses at which other daemons reach this one, each IP:PORT; an empty one means that in Listen.
type Advertise struct {
	Callers string `yaml:"callers,omitempty"`
	Peers   string `yaml:"peers,omitempty"`
}

// CallerAddress returns the address at which other daemons reach this one's interface for callers.
func (d *Daemon) CallerAddress() string {
	return cmp.Or(d.Advertise.Callers, d.Listen.Callers)
}

// PeerAddress returns the address at which other daemons reach this one's interface for peers.
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

// TLS holds the paths of the files for TLS on callers' and operators' connections; empty means plain TCP.
type TLS struct {
	Certificate string `yaml:"certificate,omitempty"`
	Key         string `yaml:"key,omitempty"`
}
