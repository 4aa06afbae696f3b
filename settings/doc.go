// Package settings reads the settings file of a daemon: its addresses, its failure
// domain and the addresses of the platform. Services are described in documents
// instead (see package document).
//
// There are two kinds of daemon: Daemon has the settings of one whose services are
// described in documents; PlatformDaemon has those of one that takes its configuration and
// the list of endpoints from the platform's store.
package settings
