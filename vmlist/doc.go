// Package vmlist reads the platform's list of live and leaving VMs, which lags.
//
//	GET /v1/vms   List
//
// The platform's own side enters, changes and removes VMs; stand-ins do so
// themselves:
//
//	POST   /v1/vms         VM
//	DELETE /v1/vms/{name}
package vmlist
