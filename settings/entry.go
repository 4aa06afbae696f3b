package settings

import (
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/strict"
)

// The bounds of the values in an Entry.
const (
	maxStopTimeout = time.Hour
	maxRetryWindow = time.Hour
	maxRetrySlack  = 1 << 30
	minHangTimeout = 1500 * time.Millisecond
	maxHangTimeout = time.Minute
)

// Entry holds the settings of a daemon that passes requests through to the endpoints that the
// platform's store lists.
type Entry struct {
	ID            chicoryhall.DaemonID      `yaml:"id"`
	Region        chicoryhall.Region        `yaml:"region"`
	FailureDomain chicoryhall.FailureDomain `yaml:"failureDomain"`
	Listen        EntryListen               `yaml:"listen"`
	Store         EntryStore                `yaml:"store"`
	Retries       EntryRetries              `yaml:"retries"`
	// StopTimeout bounds the time from SIGTERM to the end of the process.
	StopTimeout time.Duration `yaml:"stopTimeout"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"logLevel,omitempty"`
}

// EntryListen holds the addresses on which the daemon listens, each IP:PORT.
type EntryListen struct {
	// Callers is where callers connect.
	Callers string `yaml:"callers"`
	// Ready is where the platform asks whether it may send callers to this daemon.
	Ready string `yaml:"ready"`
	// Metrics is where the metrics are served as text.
	Metrics string `yaml:"metrics"`
}

// EntryStore holds the settings of the platform's store.
type EntryStore struct {
	// Address is IP:PORT.
	Address string `yaml:"address"`
	// DeafTimeout is the time within which a hanging call to the store must be detected.
	DeafTimeout time.Duration `yaml:"deafTimeout"`
}

// EntryRetries bounds the retries that all daemons together send to one service.
type EntryRetries struct {
	// Ratio is the fraction of the requests of a window that may be retried.
	Ratio float64 `yaml:"ratio"`
	// Slack is a number of retries that are allowed in addition.
	Slack  float64       `yaml:"slack"`
	Window time.Duration `yaml:"window"`
}

// LoadEntry reads and checks a settings file. Mistakes in the file are returned as strict.Problems.
func LoadEntry(path string) (*Entry, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseEntry(path, text)
}

// ParseEntry parses and checks the text of a settings file; name is used in messages. Mistakes in the text are
// returned as strict.Problems.
func ParseEntry(name string, text []byte) (*Entry, error) {
	var e Entry
	file := strict.Decode(name, text, &e)
	checkPlatformDaemon(file, &e)
	if err := file.Err(); err != nil {
		return nil, err
	}
	return &e, nil
}

func checkPlatformDaemon(file *strict.File, e *Entry) {
	file.Word("id", string(e.ID))
	file.Word("region", string(e.Region))
	file.Word("failureDomain", string(e.FailureDomain))
	file.Address("listen.callers", e.Listen.Callers)
	file.Address("listen.ready", e.Listen.Ready)
	file.Address("listen.metrics", e.Listen.Metrics)
	file.Address("store.address", e.Store.Address)
	file.Duration("store.deafTimeout", e.Store.DeafTimeout, minHangTimeout, maxHangTimeout)
	file.Duration("stopTimeout", e.StopTimeout, time.Second, maxStopTimeout)
	file.Duration("retries.window", e.Retries.Window, time.Millisecond, maxRetryWindow)
	if ratio := e.Retries.Ratio; file.Known("retries.ratio") && (ratio < 0 || ratio > 1) {
		file.Report("retries.ratio", "%g is out of range; write a part of the requests from 0 to 1", ratio)
	}
	if slack := e.Retries.Slack; file.Known("retries.slack") && (slack < 0 || slack > maxRetrySlack) {
		file.Report("retries.slack", "%g is out of range; write a number of requests from 0 to %d", slack, maxRetrySlack)
	}
	if _, err := log.ParseLevel(e.LogLevel); e.LogLevel != "" && err != nil {
		file.Report("logLevel", "%q is not known; write one of: debug, info, warn, error", e.LogLevel)
	}
}
