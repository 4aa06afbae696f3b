package vmlist

import "chicoryhall.example/chicoryhall"

// VM is one entry of the platform's list.
type VM struct {
	// Name is the EngineID or DaemonID of what runs there.
	Name          string                    `json:"name"`
	Address       string                    `json:"address"`
	FailureDomain chicoryhall.FailureDomain `json:"failureDomain"`
	Leaving       bool                      `json:"leaving"`
}

// List is the platform's view, late by its lag.
type List struct {
	VMs []VM `json:"vms"`
	// AsOfMillis is the time of the view in Unix milliseconds.
	AsOfMillis int64 `json:"asOfMillis"`
}
