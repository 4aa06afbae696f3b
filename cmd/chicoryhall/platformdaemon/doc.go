// Package platformdaemon builds and runs a daemon of "chicoryhall pass", whose
// settings are settings.Entry. Unlike a daemon of "chicoryhall serve", it runs on
// a platform whose store lists the endpoints. It forwards requests to them by the
// rules that operators write to the store. While it has the lease for placement
// in its failure domain, which is also kept in the store, it sends the engines
// there orders that say which layers to hold.
package platformdaemon
