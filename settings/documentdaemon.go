package settings

import (
	"cmp"
	"time"

	"chicoryhall.example/chicoryhall"
)

// DocumentDaemon holds the settings of a daemon whose services are described in documents.
type DocumentDaemon struct {
	ID            chicoryhall.DaemonID      `yaml:"id"`
	Region        chicoryhall.Region        `yaml:"region"`
	FailureDomain chicoryhall.FailureDomain `yaml:"failureDomain"`
	Listen        Listen                    `yaml:"listen"`
	// Advertise holds the addresses that other daemons use where they differ from those in Listen.
	Advertise Advertise `yaml:"advertise,omitempty"`
	// Seeds are peer addresses of daemons from which this daemon learns of all others, at its start and now and then later.
	Seeds    []string `yaml:"seeds"`
	Platform Platform `yaml:"platform"`
	TLS      TLS      `yaml:"tls,omitempty"`
	// OperatorTokensFile is the path of a file with lines "TEAM TOKEN". The environment variable
	// CHICORYHALL_OPERATOR_TOKENS may hold such lines instead and takes precedence.
	OperatorTokensFile string `yaml:"operatorTokensFile,omitempty"`
	// DrainTimeout bounds the time after SIGTERM in which requests in progress may finish. Those that remain are then
	// handed over to other daemons, for which the process takes a little longer.
	DrainTimeout time.Duration `yaml:"drainTimeout"`
	// LogLevel is debug, info, warn or error; empty means info. The value fatal is accepted too.
	LogLevel string `yaml:"logLevel,omitempty"`
	// RoutingPolicy is the name of the pipeline.Policy by which routes are chosen; empty means flow, the policy for
	// operation. The others are allowed, and serve to compare policies in benchmarks.
	RoutingPolicy string `yaml:"router,omitempty"`
}

// Listen holds the addresses on which the daemon listens for callers, operators and other daemons, each IP:PORT.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
}

// Advertise holds the addresses at which other daemons reach this one, each IP:PORT. If a field is empty, the address in
// Listen applies.
type Advertise struct {
	Callers string `yaml:"callers,omitempty"`
	Peers   string `yaml:"peers,omitempty"`
}

// CallerAddress returns the address for callers as other daemons know it.
func (d *DocumentDaemon) CallerAddress() string {
	return cmp.Or(d.Advertise.Callers, d.Listen.Callers)
}

// PeerAddress returns the address for peers as other daemons know it.
func (d *DocumentDaemon) PeerAddress() string {
	return cmp.Or(d.Advertise.Peers, d.Listen.Peers)
}

// Platform holds the addresses of the platform's services, each IP:PORT.
type Platform struct {
	// Table is the transactional table (see package table).
	Table string `yaml:"table"`
	// Objects is the object store, and Weights the service that holds the weights of models. Both addresses are checked,
	// but the daemon does not use them.
	Objects string `yaml:"objects"`
	Weights string `yaml:"weights"`
	// VMList is the list of VMs (see package vmlist).
	VMList string `yaml:"vmList"`
}

// TLS holds the paths of the files for TLS on callers' and operators' connections. If both are empty, these use plain TCP.
type TLS struct {
	Certificate string `yaml:"certificate,omitempty"`
	Key         string `yaml:"key,omitempty"`
}
