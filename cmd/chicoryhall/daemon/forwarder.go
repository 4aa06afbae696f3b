package daemon

import (
	"context"

	"chicoryhall.example/chicoryhall"
)

// noForwarder is a chicoryhall.Forwarder of a daemon without peers.
type noForwarder struct{}

func (b *builder) buildForwarder() error {
	b.forwarder = noForwarder{}
	return nil
}

// Follow finds nothing.
func (noForwarder) Follow(context.Context, chicoryhall.RequestID, chicoryhall.Organisation, int, chicoryhall.Follower) (func(), bool) {
	return nil, false
}

// Cancel finds nothing.
func (noForwarder) Cancel(context.Context, chicoryhall.RequestID, chicoryhall.Organisation) bool {
	return false
}
