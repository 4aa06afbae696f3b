// Package vmlist reads the platform's list of VMs. The list lags behind the actual
// state of the VMs. It is read with
//
//	GET /v1/vms
//
// which answers with a List in JSON. The platform itself adds and removes VMs. In
// the simulated platform of command chicorystand, that is done with the requests
//
//	POST /v1/vms
//	DELETE /v1/vms/{name}
//
// of which POST has a VM in JSON as its body.
package vmlist
