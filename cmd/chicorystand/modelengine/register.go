package modelengine

import (
	"context"

	"chicoryhall.example/chicoryhall/vmlist"
)

// pathVMs is the path for adding entries to the platform's VM list.
const pathVMs = "/v1/vms"

// register adds the engine to the platform's VM list, retrying until it succeeds.
func (e *Engine) register(ctx context.Context) {
	vm := vmlist.VM{Name: string(e.settings.ID), Address: e.settings.Address, FailureDomain: e.settings.FailureDomain}
	if vm.Address == "" {
		vm.Address = e.Address()
	}
	for {
		_, err := e.client.Post(ctx, e.settings.VMList, pathVMs, vm, importTimeout)
		if err == nil || !e.pause(ctx, retryPause) {
			return
		}
	}
}
