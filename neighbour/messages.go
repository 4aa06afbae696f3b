package neighbour

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/table"
)

// The methods of the calls between neighbours.
const (
	MethodSync = "neighbour.sync"
	MethodRows = "neighbour.rows"
)

// SyncPeriod is the time between two calls of MethodSync. It bounds how much later than its reader a daemon learns of a change.
const SyncPeriod = 100 * time.Millisecond

// SyncRequest tells the requests that a daemon has in flight, and asks for what is new.
type SyncRequest struct {
	// Key is the PeerKey of the daemon that is asked, which shows that the asking one can read the store.
	Key string `json:"key"`
	// Positions are those of the copies that the asking daemon has.
	Positions map[string]chicoryhall.StorePosition `json:"positions"`
	Load      Load                                 `json:"load"`
	// Failures are the endpoints that fail by the daemon's own traffic. Working are those that other daemons have reported, but
	// that have made progress by its own traffic since, with the time since then.
	Failures []Failure `json:"failures,omitempty"`
	Working  []Failure `json:"working,omitempty"`
}

// SyncReply brings the copies of the asking daemon up to date.
type SyncReply struct {
	// Updates are those of the tables that were asked for and that the daemon has a copy of.
	Updates map[string]Update `json:"updates"`
	// Others is the load of the other daemons of the failure domain, and Daemons their number.
	Others  Load `json:"others"`
	Daemons int  `json:"daemons"`
	// Failures are those that the other daemons have told of.
	Failures []Failure `json:"failures,omitempty"`
}

// RowsRequest asks for the rows with a key prefix.
type RowsRequest struct {
	Key    string `json:"key"`
	Prefix string `json:"prefix"`
	// MaxAgeMillis is how long ago the rows may have been read, in milliseconds.
	MaxAgeMillis int64 `json:"maxAgeMillis"`
}

// RowsReply holds the rows.
type RowsReply struct {
	Rows []table.Row `json:"rows"`
}
