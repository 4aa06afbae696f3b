package plan

import (
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
)

// Plan describes an experiment.
type Plan struct {
	// Layout is the command line that generated the deployment, for reports.
	Layout string `yaml:"layout,omitempty"`
	// Seed determines arrivals, prompts and lengths, so that runs are repeatable.
	Seed     uint64        `yaml:"seed"`
	Duration time.Duration `yaml:"duration"`
	// Targets are the caller addresses, IP:PORT, which are used in turn.
	Targets []string `yaml:"targets"`
	// Documents are the paths of the services' documents.
	Documents []string  `yaml:"documents"`
	Traffic   []Traffic `yaml:"traffic"`
	Faults    []Fault   `yaml:"faults,omitempty"`
	// Ledgers are the control addresses of the stand-ins, IP:PORT.
	Ledgers []string `yaml:"ledgers"`
}

// Traffic is a stream of requests of one organisation and class. It is open-loop: arrivals do not depend on answers.
type Traffic struct {
	Service      chicoryhall.ServiceName  `yaml:"service"`
	Class        chicoryhall.ClassName    `yaml:"class"`
	Organisation chicoryhall.Organisation `yaml:"organisation"`
	// Token is the bearer token of the organisation's callers.
	Token string `yaml:"token"`
	// Rate is the mean number of arrivals per second.
	Rate float64 `yaml:"rate"`
	// PromptBytes and MaxTokens are maximum sizes. The sizes of requests are random, from half of the maximum on.
	PromptBytes int `yaml:"promptBytes,omitempty"`
	MaxTokens   int `yaml:"maxTokens,omitempty"`
	// Operation is the operation to call, for a plain service.
	Operation string        `yaml:"operation,omitempty"`
	Timeout   time.Duration `yaml:"timeout"`
}

// Fault is one request to a stand-in's control endpoint, or one signal to a process.
type Fault struct {
	// At is the time since the start of the load.
	At   time.Duration `yaml:"at"`
	Name string        `yaml:"name"`
	// Control is the stand-in's control address. Body is posted to Path.
	Control string `yaml:"control,omitempty"`
	Path    string `yaml:"path,omitempty"`
	Body    string `yaml:"body,omitempty"`
	// PIDFile is the path of the file with the ID of the process to which Signal is sent: KILL, STOP, CONT or TERM.
	PIDFile string `yaml:"pidFile,omitempty"`
	Signal  string `yaml:"signal,omitempty"`
	// Recovery is set if the time from this fault to the next token has to be measured.
	Recovery bool `yaml:"recovery,omitempty"`
}

// Load reads and checks a plan. It refuses unknown fields.
func Load(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read plan")
	}
	var p Plan
	if err := yaml.UnmarshalWithOptions(text, &p, yaml.Strict()); err != nil {
		return nil, errors.Wrapf(err, "plan %s", path)
	}
	return &p, p.check(path)
}

func (p *Plan) check(path string) error {
	if len(p.Targets) == 0 {
		return errors.Errorf("plan %s: targets is empty; name at least one IP:PORT", path)
	}
	if p.Duration <= 0 {
		return errors.Errorf("plan %s: duration is %v; it must be above zero, such as 20s", path, p.Duration)
	}
	for i, traffic := range p.Traffic {
		if traffic.Rate <= 0 {
			return errors.Errorf("plan %s: traffic[%d].rate is %v; it must be above zero", path, i, traffic.Rate)
		}
		if traffic.Timeout <= 0 {
			return errors.Errorf("plan %s: traffic[%d].timeout is %v; it must be above zero", path, i, traffic.Timeout)
		}
	}
	return nil
}
