package modelengine

import (
	"context"

	"chicoryhall.example/chicoryhall/vmlist"
)

// pathVMs is where the platform's list of VMs takes entries.
const pathVMs = "/v1/vms"

// register enters the engine in the platform's list of VMs, trying until it succeeds.
func (e *Engine) register(ctx context.Context) {
	vm := vmlist.VM{Name: string(e.settings.ID), Address: e.settings.Address, FailureDomain: e.settings.FailureDomain}
	if vm.Address == "" {
		vm.Address = e.Address()
	}
	for {
		_, err := e.client.Post(ctx, e.settings.VMList, pathVMs, vm, importTimeout)
		if err == nil || !e.pause(ctx, weightRetry) {
			return
		}
	}
}
