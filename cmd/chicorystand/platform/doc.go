// Package platform simulates the platform's services on one address: the
// transactional table (whose protocol is in package table), the object store, the
// rate-limited weight store and the VM list, which lags behind.
//
//	GET, PUT, DELETE /v1/objects/{key}               one object; 404 if it does not exist
//	GET    /v1/weights/{model}/{version}/{layer}     the bytes of one layer, at the store's rate
//	GET    /v1/vms                                   vmlist.List, as it was before the lag
//	POST   /v1/vms                                   adds or replaces one vmlist.VM
//	DELETE /v1/vms/{name}                            removes one VM
//
// A transaction counts as one write regardless of how many rows it changes, up to
// MaxChanges. A read of several rows counts as one read. Requests above the rates
// are answered with 503.
package platform
