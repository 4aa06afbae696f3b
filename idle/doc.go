// Package idle keeps idle connections to endpoints for reuse. It does not depend
// on the protocol of the connections: both package engine and package passthrough
// use it.
package idle
