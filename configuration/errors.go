package configuration

import (
	"fmt"

	"chicoryhall.example/chicoryhall"
)

// ConflictError reports that another version was accepted after the one that the operator read.
type ConflictError struct {
	Service chicoryhall.ServiceName
	// BaseVersion is the number of the version that the operator read, 0 for none.
	BaseVersion int64
	// NewestVersion is the number of the newest version known to be accepted.
	NewestVersion int64
}

// Error returns a message with the service and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("service %s: the change was made to version %d, but version %d is accepted; "+
		"get the newest version, make the change again and apply it", e.Service, e.BaseVersion, e.NewestVersion)
}

// NotReadyError reports why a daemon does not know the documents yet.
type NotReadyError struct {
	// Table and Peers are the errors of reading from each source.
	Table error
	Peers error
}

// Error returns a message with the errors of both sources.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("no documents yet: from the platform's table: %v; from the peers: %v", e.Table, e.Peers)
}
