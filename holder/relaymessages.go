package holder

import (
	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
)

const (
	methodFollow = "holder.follow"
	methodEvents = "holder.events"
	methodCancel = "holder.cancel"
)

// relayID identifies a relay at the daemon that follows.
type relayID struct {
	Number uint64 `json:"n"`
	// SearchNumber counts the searches for the request, so that events of an earlier source can be told
	// apart.
	SearchNumber int `json:"t"`
}

// followRequest asks for the events of a request from a position of the answer on.
type followRequest struct {
	Relay        relayID                  `json:"r"`
	ID           chicoryhall.RequestID    `json:"id"`
	Organisation chicoryhall.Organisation `json:"o"`
	Position     int                      `json:"p"`
}

//go:generate go tool enumer -type=Location -json -text -transform=kebab -trimprefix=Location -linecomment -output=location_enumer.go

// Location is what a daemon knows about where a request runs.
type Location int

// The locations.
const (
	// LocationUnknown means that the daemon does not know the request.
	LocationUnknown Location = iota // none
	// LocationHere means that the daemon runs the request or has its answer.
	LocationHere
	// LocationPending means that the daemon has a replica and may become the owner, or that it is the
	// owner and is still resuming the request.
	LocationPending
	// LocationMoved means that another daemon has become the owner.
	LocationMoved
)

// followAnswer says what the asked daemon knows about where the request runs.
type followAnswer struct {
	Location Location             `json:"f"`
	Owner    chicoryhall.DaemonID `json:"h,omitempty"`
}

// relayEvent is one call of a chicoryhall.Follower.
type relayEvent struct {
	Accepted bool                `json:"a,omitempty"`
	Position int                 `json:"p,omitempty"`
	Tokens   []digest.Token      `json:"t,omitempty"`
	Result   *chicoryhall.Result `json:"r,omitempty"`
}

// relayEvents carries events in order. If Wanted is false in the answer, no more are sent.
type relayEvents struct {
	Relay  relayID      `json:"r"`
	Events []relayEvent `json:"e"`
}

type relayAnswer struct {
	Wanted bool `json:"w"`
}

// cancelRequest asks a daemon to cancel a request.
type cancelRequest struct {
	ID           chicoryhall.RequestID    `json:"id"`
	Organisation chicoryhall.Organisation `json:"o"`
}
