// Package platform simulates the services of the platform that the daemons and the
// engines use: the transactional table (whose protocol is in package table), the
// object store, the weight store, whose bandwidth is limited, and the VM list, which
// is served with a lag. Each is available on every address of the Platform.
//
//	GET, PUT, DELETE /v1/objects/{key}               one object; 404 if it does not exist
//	GET    /v1/weights/{model}/{version}/{layer}     as many zero bytes as one layer has, at the store's rate
//	GET    /v1/vms                                   vmlist.List, as it was Settings.VMLag ago
//	POST   /v1/vms                                   adds or replaces one vmlist.VM
//	DELETE /v1/vms/{name}                            removes one VM
//
// A transaction counts as one write regardless of how many rows it changes, up to
// MaxChanges. A read of several rows counts as one read. Requests to the table and
// the object store above their rates are answered with 503. The weight store delays
// its answers instead, and the VM list has no rate limit.
package platform
