package daemon

import (
	"context"
	"time"

	"chicoryhall.example/chicoryhall/holder"
)

// handOverTimeout bounds the time in which other daemons take over the requests that a stopping daemon still runs.
const handOverTimeout = 2 * time.Second

// buildKeeper adds the component that replicates accepted requests, so that they survive the failure of this daemon.
func (b *builder) buildKeeper() error {
	b.holder = holder.Start(holder.Config{
		Node: b.node, Members: b.membership, FenceNotifier: b.membership, Timer: b.timer, Logger: b.log,
	})
	b.keeper = b.holder
	b.forwarder = b.holder
	b.decisions.Add(b.holder)
	return nil
}

// handOver lets other daemons continue the requests still in progress. It runs after all drains.
func (b *builder) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	b.holder.HandOver(ctx)
}
