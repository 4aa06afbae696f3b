package vmlist

import "chicoryhall.example/chicoryhall"

// VM is an entry of the platform's list.
type VM struct {
	// Name is the EndpointID or DaemonID of what runs on the VM.
	Name          string                    `json:"name"`
	Address       string                    `json:"address"`
	FailureDomain chicoryhall.FailureDomain `json:"failureDomain"`
	// Leaving is set once the VM is being shut down.
	Leaving bool `json:"leaving"`
}

// List is the content of the platform's list.
type List struct {
	VMs []VM `json:"vms"`
	// AsOfMillis is the time by the platform's clock, in Unix milliseconds, as of which the list shows the VMs.
	AsOfMillis int64 `json:"asOfMillis"`
}
