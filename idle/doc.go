// Package idle keeps idle connections to endpoints for reuse. It is independent of the
// protocol: the clients of two protocols use it.
package idle
