package plan

import (
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
)

// Plan describes one run.
type Plan struct {
	// LayoutCommand is the command line that generated the deployment. It is shown in reports.
	LayoutCommand string `yaml:"layout,omitempty"`
	// Seed determines the arrival times, the prompts and the sizes of the requests, so that runs with the same seed
	// send the same load.
	Seed     uint64        `yaml:"seed"`
	Duration time.Duration `yaml:"duration"`
	// Targets are the addresses, IP:PORT, of the daemons or load balancers to which requests are sent in turn.
	Targets []string `yaml:"targets"`
	// Documents are the paths of the services' documents.
	Documents []string  `yaml:"documents"`
	Traffic   []Traffic `yaml:"traffic"`
	// Faults have to be in the order of their times At, as they are injected in the order of this list. Load does not
	// check it.
	Faults []Fault `yaml:"faults,omitempty"`
	// LedgerAddresses are the control addresses, IP:PORT, of the stand-ins whose ledgers are read after the run.
	LedgerAddresses []string `yaml:"ledgers"`
}

// Traffic describes the requests that one organisation sends to one service in one class. It is open-loop: requests
// are sent at the given rate, however fast they are answered.
type Traffic struct {
	Service      chicoryhall.ServiceName  `yaml:"service"`
	Class        chicoryhall.ClassName    `yaml:"class"`
	Organisation chicoryhall.Organisation `yaml:"organisation"`
	// Token is the bearer token of the organisation.
	Token string `yaml:"token"`
	// Rate is the mean number of requests per second.
	Rate float64 `yaml:"rate"`
	// PromptBytes is the maximum size of a prompt, or of the random part of the body for a plain service. MaxTokens is
	// the maximum length of an answer. The sizes of the requests are random between half of the maximum and the maximum.
	// A PromptBytes of less than 16 counts as 16, the text of two tokens.
	PromptBytes int `yaml:"promptBytes,omitempty"`
	MaxTokens   int `yaml:"maxTokens,omitempty"`
	// Operation is the operation to call, for a plain service.
	Operation string `yaml:"operation,omitempty"`
	// Timeout is the time within which each request must be answered.
	Timeout time.Duration `yaml:"timeout"`
}

// Fault is a fault to inject, or the end of an earlier fault, such as the signal CONT after STOP. If PIDFile is set, it is a signal to a process; otherwise it is an HTTP request to a
// stand-in's control address.
type Fault struct {
	// At is the time to inject the fault, relative to the start of the run.
	At time.Duration `yaml:"at"`
	// Name describes the fault in reports, such as "engine drafter-xinyi-0-1 crashes".
	Name string `yaml:"name"`
	// ControlAddress is the stand-in's control address, IP:PORT. Body is posted to Path there.
	ControlAddress string `yaml:"control,omitempty"`
	Path           string `yaml:"path,omitempty"`
	Body           string `yaml:"body,omitempty"`
	// PIDFile is the path of a file that contains a process ID. Signal is the signal to send to that process: KILL,
	// STOP, CONT or TERM.
	PIDFile string `yaml:"pidFile,omitempty"`
	Signal  string `yaml:"signal,omitempty"`
	// MeasureRecovery is set if the result should contain the times from this fault to the next token of each answer
	// that the fault interrupted. These are the answers with a pause between two tokens that started before the fault or
	// shortly after it, and ended after it (see package verify).
	MeasureRecovery bool `yaml:"recovery,omitempty"`
}

// Load reads a plan. It returns an error for unknown fields, an empty list of targets, and a duration, rate or timeout
// that is not above zero.
func Load(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read plan")
	}
	var p Plan
	if err := yaml.UnmarshalWithOptions(text, &p, yaml.Strict()); err != nil {
		return nil, errors.Wrapf(err, "decode plan %s", path)
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
