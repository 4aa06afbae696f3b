package platform

import (
	"encoding/json"

	"chicoryhall.example/chicoryhall/event"
)

//go:generate go tool enumer -type=Outage -json -text -transform=lower -trimprefix=Outage -output=outage_enumer.go

// Outage is the way in which a service of the platform does not work.
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
	// StaleReads answers reads of the table from the last snapshot. Before the first one, they find no rows.
	StaleReads bool `json:"staleReads,omitempty"`
	// WritesPerSecond and ReadsPerSecond, unless 0, apply instead of the rates of the settings.
	WritesPerSecond float64 `json:"writesPerSecond,omitempty"`
	ReadsPerSecond  float64 `json:"readsPerSecond,omitempty"`
}

// ServiceFaults are the faults of one service.
type ServiceFaults struct {
	Outage Outage `json:"outage,omitempty"`
	// SlowMillis is the delay with which each request is handled.
	SlowMillis int64 `json:"slowMillis,omitempty"`
	// LoseAnswers makes this number of the next writes take effect without an answer. It applies only to the table and
	// the object store.
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

// SetFaults replaces the faults by those given as JSON. Whichever faults change, each rate limit starts anew with a
// full burst.
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

// Act executes an action. For freeze, thaw and silence see package control. The action snapshot keeps a copy of the
// table's rows, and restore replaces the rows by the last copy, like restoring a backup. Until the first snapshot the
// copy is empty, so restore then empties the table. Act returns false for any other action.
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
