package settings

import (
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/strict"
)

// The bounds of an Entry's values.
const (
	maxStopTimeout = time.Hour
	maxWindow      = time.Hour
	maxSlack       = 1 << 30
	minDeafTimeout = 1500 * time.Millisecond
	maxDeafTimeout = time.Minute
)

// Entry is the settings file of a daemon that passes requests through to endpoints which the
// platform's store lists.
type Entry struct {
	ID            chicoryhall.DaemonID      `yaml:"id"`
	Region        chicoryhall.Region        `yaml:"region"`
	FailureDomain chicoryhall.FailureDomain `yaml:"failureDomain"`
	Listen        EntryListen               `yaml:"listen"`
	Store         EntryStore                `yaml:"store"`
	Retries       EntryRetries              `yaml:"retries"`
	// StopTimeout is how long the process may take to end after SIGTERM.
	StopTimeout time.Duration `yaml:"stopTimeout"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"logLevel,omitempty"`
}

// EntryListen holds the daemon's own addresses, each IP:PORT.
type EntryListen struct {
	// Callers is where callers connect.
	Callers string `yaml:"callers"`
	// Ready answers the platform whether callers may be sent here.
	Ready string `yaml:"ready"`
	// Metrics serves the metrics as text.
	Metrics string `yaml:"metrics"`
}

// EntryStore is the platform's store.
type EntryStore struct {
	// Address is IP:PORT.
	Address string `yaml:"address"`
	// DeafTimeout is how soon a call to the store that hangs must be noticed.
	DeafTimeout time.Duration `yaml:"deafTimeout"`
}

// EntryRetries bounds what all daemons together send again to one service.
type EntryRetries struct {
	// Ratio is the part of the requests of a window, Slack a number of requests on top.
	Ratio  float64       `yaml:"ratio"`
	Slack  float64       `yaml:"slack"`
	Window time.Duration `yaml:"window"`
}

// LoadEntry reads and checks a settings file; mistakes in it are a strict.Problems.
func LoadEntry(path string) (*Entry, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseEntry(path, text)
}

// ParseEntry checks the text of a settings file; mistakes in it are a strict.Problems.
func ParseEntry(name string, text []byte) (*Entry, error) {
	var e Entry
	file := strict.Decode(name, text, &e)
	checkEntry(file, &e)
	if err := file.Err(); err != nil {
		return nil, err
	}
	return &e, nil
}

func checkEntry(file *strict.File, e *Entry) {
	file.Word("id", string(e.ID))
	file.Word("region", string(e.Region))
	file.Word("failureDomain", string(e.FailureDomain))
	file.Address("listen.callers", e.Listen.Callers)
	file.Address("listen.ready", e.Listen.Ready)
	file.Address("listen.metrics", e.Listen.Metrics)
	file.Address("store.address", e.Store.Address)
	file.Duration("store.deafTimeout", e.Store.DeafTimeout, minDeafTimeout, maxDeafTimeout)
	file.Duration("stopTimeout", e.StopTimeout, time.Second, maxStopTimeout)
	file.Duration("retries.window", e.Retries.Window, time.Millisecond, maxWindow)
	if ratio := e.Retries.Ratio; file.Known("retries.ratio") && (ratio < 0 || ratio > 1) {
		file.Report("retries.ratio", "%g is out of range; write a part of the requests from 0 to 1", ratio)
	}
	if slack := e.Retries.Slack; file.Known("retries.slack") && (slack < 0 || slack > maxSlack) {
		file.Report("retries.slack", "%g is out of range; write a number of requests from 0 to %d", slack, maxSlack)
	}
	if _, err := log.ParseLevel(e.LogLevel); e.LogLevel != "" && err != nil {
		file.Report("logLevel", "%q is not known; write one of: debug, info, warn, error", e.LogLevel)
	}
}
