// Package vmlist reads the platform's list of VMs. The list lags behind the actual
// state of the VMs. It is the body of the answer to
//
//	GET /v1/vms   List
//
// The platform itself adds and removes VMs. The simulated platform of command
// chicorystand has these requests for that, the first one with a VM as its body:
//
//	POST   /v1/vms         VM
//	DELETE /v1/vms/{name}
package vmlist
