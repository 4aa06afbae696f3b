// Package settings holds the daemon's own settings: its addresses, its failure
// domain and where the platform is. Services are described in documents, not here.
package settings
