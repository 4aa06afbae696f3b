// Package configuration keeps the service documents in force at one daemon and
// in agreement with the platform's table and the other daemons.
//
// A change is accepted by one transaction of the table (Publication) against
// the version that the operator read. Accepted versions spread by rumours and
// by comparing digests with random peers; a slow poll of the table is the
// backstop. State holds the rule that makes it safe to take a version from any
// source, stale or not: a service's number only grows. A table that was restored
// from a backup is written forward again by the daemons.
//
// State, Publication and Spread are pure; Service carries their messages.
package configuration
