// Package platform stands in for the platform's services on one address: the
// transactional table (protocol in package table), the object store, the
// rate-limited weight store and the list of VMs that lags.
//
//	GET, PUT, DELETE /v1/objects/{key}               one object; 404 when absent
//	GET    /v1/weights/{model}/{version}/{layer}     the bytes of one layer, at the store's rate
//	GET    /v1/vms                                   vmlist.List, as old as the lag
//	POST   /v1/vms                                   enters or changes one vmlist.VM
//	DELETE /v1/vms/{name}                            removes one
//
// A transaction counts as one write however many rows it changes, up to
// MaxChanges; a read of several rows counts as one read. Above the rates the
// answer is 503.
package platform
