// Package platformdaemon builds and runs a daemon of "chicoryhall pass", whose
// settings are settings.PlatformDaemon. Unlike a daemon of "chicoryhall serve",
// whose documents list the endpoints, it runs on a platform whose store lists
// them. It forwards requests to the endpoints by the rules that operators write to
// the store. While it has the lease for placement in its failure domain, which is
// also kept in the store, it sends the engines there orders that say which layers
// to hold.
//
// The daemons stop requests that crash endpoints together: crashes finds out which
// requests were lost when an endpoint ended, crashReports shares that through the
// store, trials runs suspects on endpoints of their own, and quarantineService
// decides by all of this.
package platformdaemon
