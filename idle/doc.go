// Package idle keeps the connections to endpoints that wait for their next request. It knows
// nothing of what they carry: the clients of two protocols share it.
package idle
