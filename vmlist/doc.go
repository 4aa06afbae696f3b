// Package vmlist reads the platform's list of live and leaving VMs, which lags.
//
//	GET /v1/vms   List
package vmlist
