package configuration

import (
	"fmt"

	"chicoryhall.example/chicoryhall"
)

// ConflictError tells that another version was accepted after the one that the operator read.
type ConflictError struct {
	Service chicoryhall.ServiceName
	// Read is the number that the operator read, 0 for none.
	Read int64
	// Newest is the number that is accepted.
	Newest int64
}

// Error names the service and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("service %s: the change was made to version %d, but version %d is accepted; "+
		"get the newest version, make the change again and apply it", e.Service, e.Read, e.Newest)
}

// UnreadyError tells why a daemon does not know the documents yet.
type UnreadyError struct {
	// Table and Peers tell what failed at each source.
	Table error
	Peers error
}

// Error names both sources.
func (e *UnreadyError) Error() string {
	return fmt.Sprintf("no documents yet: from the platform's table: %v; from the peers: %v", e.Table, e.Peers)
}
