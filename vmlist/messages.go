package vmlist

import "chicoryhall.example/chicoryhall"

// VM is an entry of the platform's list.
type VM struct {
	// Name is the EngineID or DaemonID of what runs there.
	Name          string                    `json:"name"`
	Address       string                    `json:"address"`
	FailureDomain chicoryhall.FailureDomain `json:"failureDomain"`
	Leaving       bool                      `json:"leaving"`
}

// List is the platform's list as of some time in the past.
type List struct {
	VMs []VM `json:"vms"`
	// AsOfMillis is the time of the list in Unix milliseconds.
	AsOfMillis int64 `json:"asOfMillis"`
}
