// Package platformdaemon builds and runs a daemon of "chicoryhall pass", which
// runs on a platform that provides a store. The daemon forwards requests to the
// endpoints listed in the store by the rules that operators write there. While
// it has the lease of its failure domain, which is also kept in the store, it
// orders the engines there which layers to hold.
package platformdaemon
