// Package fetch sends single HTTP requests from a stand-in to the others over
// nbhttp: weights, exported KV and the registration in the list of VMs.
package fetch
