package platform

import (
	"encoding/json"

	"chicoryhall.example/chicoryhall/event"
)

//go:generate go tool enumer -type=Outage -json -text -transform=lower -trimprefix=Outage -output=outage_enumer.go

// Outage is the way in which a service of the platform is down.
type Outage int

// The kinds of outages.
const (
	// OutageNone is no outage.
	OutageNone Outage = iota
	// OutageRefuse answers each request with status 503.
	OutageRefuse
	// OutageSilent leaves requests unanswered.
	OutageSilent
	// OutageDrop closes the connection without an answer.
	OutageDrop
)

// Faults are the faults of the platform. The zero value has none.
type Faults struct {
	Table   ServiceFaults `json:"table"`
	Objects ServiceFaults `json:"objects"`
	Weights ServiceFaults `json:"weights"`
	VMs     ServiceFaults `json:"vms"`
	// StaleReads answers reads of the table from the last snapshot.
	StaleReads bool `json:"staleReads,omitempty"`
	// WritesPerSecond and ReadsPerSecond replace the rates of the settings unless they are 0.
	WritesPerSecond float64 `json:"writesPerSecond,omitempty"`
	ReadsPerSecond  float64 `json:"readsPerSecond,omitempty"`
}

// ServiceFaults are the faults of one service.
type ServiceFaults struct {
	Outage Outage `json:"outage,omitempty"`
	// SlowMillis delays each answer.
	SlowMillis int64 `json:"slowMillis,omitempty"`
	// LoseAnswers is the number of next writes that take effect without being answered.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// LoseSilently keeps the connection open when an answer is lost, instead of closing it.
	LoseSilently bool `json:"loseSilently,omitempty"`
}

// Faults returns the current faults.
func (p *Platform) Faults() any {
	var faults Faults
	p.gate.DoAlways(func() { faults = p.faults })
	return faults
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(text []byte) error {
	var faults Faults
	if err := json.Unmarshal(text, &faults); err != nil {
		return err
	}
	p.gate.DoAlways(func() {
		p.faults = faults
		p.setRates()
	})
	return nil
}

// Act executes a named action. It returns false if there is no such action.
func (p *Platform) Act(action string) bool {
	switch action {
	case "freeze":
		p.gate.Freeze()
	case "thaw":
		p.gate.Thaw()
	case "silence":
		for _, server := range p.servers {
			server.Silence()
		}
	case "snapshot":
		p.gate.DoAlways(func() { p.snapshot = p.rows.clone() })
	case "restore":
		p.gate.DoAlways(func() { p.rows = p.snapshot.clone() })
	default:
		return false
	}
	p.log.Log(event.StandinFaultSet, "action", action)
	return true
}
