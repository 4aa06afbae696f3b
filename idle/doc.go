// Package idle keeps idle connections to endpoints for reuse. It is independent of their
// protocol: packages engine and passthrough use it.
package idle
