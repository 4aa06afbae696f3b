package settings

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/strict"
)

// Bounds of values in the settings.
const (
	maxStopTimeout = time.Hour
	maxRetryWindow = time.Hour
	maxRetrySlack  = 1 << 30
	minHangTimeout = 1500 * time.Millisecond
	maxHangTimeout = time.Minute
	// minMemory is about three times what a daemon without callers uses, in MB.
	minMemory = 48
	maxMemory = 1 << 24
	// minDescriptors leaves callers some beside the reserve for endpoints, the store and files.
	minDescriptors = 128
	maxDescriptors = 1 << 20
)

// megabyte is the unit of PlatformDaemonLimits.Memory in bytes. It is the smaller one of the two in use, so that a process stays
// within either.
const megabyte = 1_000_000

// PlatformDaemon holds the settings of a daemon that passes requests through to the endpoints that the
// platform's store lists.
type PlatformDaemon struct {
	ID            chicoryhall.DaemonID      `yaml:"id"`
	Region        chicoryhall.Region        `yaml:"region"`
	FailureDomain chicoryhall.FailureDomain `yaml:"failureDomain"`
	Listen        PlatformDaemonListen      `yaml:"listen"`
	Store         PlatformDaemonStore       `yaml:"store"`
	Retries       PlatformDaemonRetries     `yaml:"retries"`
	// CPUShare is the part of a processor that the daemon may use, or 0 if it is not known. Daemons with the largest one read the
	// store for their neighbours.
	CPUShare float64 `yaml:"cpuShare,omitempty"`
	// Limits are those of the VM.
	Limits PlatformDaemonLimits `yaml:"limits,omitempty"`
	// Pacing limits the requests at each endpoint by how it answers, below its listed slots: after its start, after refusals, late
	// first events and failures.
	Pacing bool `yaml:"pacing,omitempty"`
	// SourceIP is the IP address that connections to endpoints come from. If it is empty, the system chooses one.
	SourceIP string `yaml:"sourceIP,omitempty"`
	// StopTimeout bounds the time from SIGTERM to the end of the process, unlike a DrainTimeout. Requests still in progress
	// shortly before its end are cut off.
	StopTimeout time.Duration `yaml:"stopTimeout"`
	// LogLevel is debug, info, warn or error; empty means info. The value fatal is accepted too.
	LogLevel string `yaml:"logLevel,omitempty"`
}

// PlatformDaemonListen holds the addresses on which the daemon listens, each IP:PORT. They must differ, or the daemon can't
// listen on all of them; the check of the settings does not find equal ones.
type PlatformDaemonListen struct {
	// Callers is the address for callers.
	Callers string `yaml:"callers"`
	// Ready is the address at which the platform asks whether this daemon accepts callers.
	Ready string `yaml:"ready"`
	// Peers is the address for other daemons of the deployment, which hand over requests. If it is empty, this daemon takes
	// none and hands none over.
	Peers string `yaml:"peers,omitempty"`
	// Neighbours is the address for daemons of the same failure domain, with which this one shares what it reads from the store,
	// as IP:FIRST-LAST: the daemon listens at the port after FIRST, which is before LAST. If it is empty, it shares nothing.
	Neighbours string `yaml:"neighbours,omitempty"`
	// Metrics is the address at which the metrics are served in the Prometheus text format.
	Metrics string `yaml:"metrics"`
}

// PlatformDaemonStore holds the settings for calls to the platform's store.
type PlatformDaemonStore struct {
	// Address is the store's IP:PORT.
	Address string `yaml:"address"`
	// HangTimeout is the time within which the daemon detects that the store does not answer a call for changes. It then
	// treats the store as unavailable.
	HangTimeout time.Duration `yaml:"deafTimeout"`
}

// PlatformDaemonRetries bounds the retries that all daemons together send to one service.
type PlatformDaemonRetries struct {
	// Ratio times the number of requests in a Window, plus Slack, is the number of retries allowed in it. Ratio is from 0
	// to 1.
	Ratio float64 `yaml:"ratio"`
	// Slack is the number of retries that are allowed in a Window regardless of the number of requests.
	Slack float64 `yaml:"slack"`
	// Window is the length of the sliding window in which requests and retries are counted.
	Window time.Duration `yaml:"window"`
}

// PlatformDaemonLimits bounds what the process may use. The system is asked for a limit that is 0.
type PlatformDaemonLimits struct {
	// Memory is the memory of the VM in MB, 1,000,000 bytes each.
	Memory float64 `yaml:"memory,omitempty"`
	// Descriptors is the number of file descriptors that may be open at the same time.
	Descriptors int `yaml:"descriptors,omitempty"`
}

// MemoryBytes returns the memory of the VM in bytes, or 0 if it is not set.
func (l PlatformDaemonLimits) MemoryBytes() int64 { return int64(l.Memory * megabyte) }

// LoadPlatformDaemon reads and checks the settings file of a PlatformDaemon. Errors in the file are returned as
// strict.Problems.
func LoadPlatformDaemon(path string) (*PlatformDaemon, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParsePlatformDaemon(path, text)
}

// ParsePlatformDaemon parses and checks the text of a PlatformDaemon's settings file; name is the file name in messages.
// Errors in the text are returned as strict.Problems.
func ParsePlatformDaemon(name string, text []byte) (*PlatformDaemon, error) {
	var d PlatformDaemon
	file := strict.Decode(name, text, &d)
	checkPlatformDaemon(file, &d)
	if err := file.Err(); err != nil {
		return nil, err
	}
	return &d, nil
}

// NeighbourAddress returns the IP:PORT for daemons of the same failure domain, or an empty text if there is none.
func (l PlatformDaemonListen) NeighbourAddress() (string, error) {
	if l.Neighbours == "" {
		return "", nil
	}
	first, last, isRange := strings.Cut(l.Neighbours, "-")
	address, err := netip.ParseAddrPort(first)
	end, endErr := strconv.ParseUint(last, 10, 16)
	if err != nil || endErr != nil || !isRange || uint64(address.Port())+2 > end {
		return "", errors.Errorf("%q is no range of ports; write IP:FIRST-LAST with at least one port between FIRST and LAST, such as 127.0.0.1:8080-8090",
			l.Neighbours)
	}
	return netip.AddrPortFrom(address.Addr(), address.Port()+1).String(), nil
}

func checkPlatformDaemon(file *strict.File, d *PlatformDaemon) {
	file.CheckName("id", string(d.ID))
	file.CheckName("region", string(d.Region))
	file.CheckName("failureDomain", string(d.FailureDomain))
	file.CheckAddress("listen.callers", d.Listen.Callers)
	file.CheckAddress("listen.ready", d.Listen.Ready)
	file.CheckAddress("listen.metrics", d.Listen.Metrics)
	file.CheckAddress("store.address", d.Store.Address)
	file.CheckDuration("store.deafTimeout", d.Store.HangTimeout, minHangTimeout, maxHangTimeout)
	file.CheckDuration("stopTimeout", d.StopTimeout, time.Second, maxStopTimeout)
	file.CheckDuration("retries.window", d.Retries.Window, time.Millisecond, maxRetryWindow)
	if ratio := d.Retries.Ratio; file.IsValid("retries.ratio") && (ratio < 0 || ratio > 1) {
		file.AddError("retries.ratio", "%g is out of range; write a part of the requests from 0 to 1", ratio)
	}
	if slack := d.Retries.Slack; file.IsValid("retries.slack") && (slack < 0 || slack > maxRetrySlack) {
		file.AddError("retries.slack", "%g is out of range; write a number of requests from 0 to %d", slack, maxRetrySlack)
	}
	if d.Listen.Peers != "" {
		file.CheckAddress("listen.peers", d.Listen.Peers)
	}
	if d.CPUShare < 0 {
		file.AddError("cpuShare", "%g is negative; write the part of a processor, such as 0.4", d.CPUShare)
	}
	checkLimits(file, d.Limits)
	if _, err := d.Listen.NeighbourAddress(); err != nil && file.IsValid("listen.neighbours") {
		file.AddError("listen.neighbours", "%s", err)
	}
	if d.SourceIP != "" && net.ParseIP(d.SourceIP) == nil {
		file.AddError("sourceIP", "%q is no IP address", d.SourceIP)
	}
	if _, err := log.ParseLevel(d.LogLevel); d.LogLevel != "" && err != nil {
		file.AddError("logLevel", "%q is not known; write one of: debug, info, warn, error", d.LogLevel)
	}
}

func checkLimits(file *strict.File, limits PlatformDaemonLimits) {
	if limits.Memory != 0 && (limits.Memory < minMemory || limits.Memory > maxMemory) {
		file.AddError("limits.memory", "%g is out of range; write the memory of the VM in MB, from %d to %d", limits.Memory, minMemory, maxMemory)
	}
	if limits.Descriptors != 0 {
		file.CheckRange("limits.descriptors", int64(limits.Descriptors), minDescriptors, maxDescriptors)
	}
}
