// Package settings reads the settings file of a daemon, such as its addresses and
// timeouts, its failure domain and the addresses of the platform.
//
// There are two kinds of daemon. DocumentDaemon has the settings of one whose
// services are described in documents (see package document). PlatformDaemon has
// those of one that takes its rules, services and endpoints from the platform's
// store (see package platform).
package settings
