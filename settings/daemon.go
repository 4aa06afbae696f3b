package settings

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

// Daemon is the settings file of one chicoryhall daemon.
type Daemon struct {
	ID            chicoryhall.DaemonID      `yaml:"id"`
	Region        chicoryhall.Region        `yaml:"region"`
	FailureDomain chicoryhall.FailureDomain `yaml:"failureDomain"`
	Listen        Listen                    `yaml:"listen"`
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
