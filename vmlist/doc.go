// Package vmlist reads the platform's list of live and leaving VMs, which lags
// behind their actual state.
//
//	GET /v1/vms   List
//
// The platform itself maintains the list. The simulated platform of chicorystand
// lets simulated endpoints maintain it:
//
//	POST   /v1/vms         VM
//	DELETE /v1/vms/{name}
package vmlist
