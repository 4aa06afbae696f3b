// Package fetch is the HTTP client with which stand-ins call each other, built on
// nbhttp: for weights, exported KV and the registration in the VM list.
package fetch
