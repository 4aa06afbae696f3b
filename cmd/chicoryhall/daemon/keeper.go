package daemon

import (
	"context"
	"time"

	"chicoryhall.example/chicoryhall/holder"
)

// handOverTimeout bounds the time in which other daemons take over the requests that a stopping one still holds.
const handOverTimeout = 2 * time.Second

// buildKeeper adds the part that keeps accepted requests alive beyond this daemon.
func (b *builder) buildKeeper() error {
	b.holder = holder.Start(holder.Config{
		Node: b.node, Members: b.membership, FenceNotifier: b.membership, Timer: b.timer, Logger: b.log,
	})
	b.keeper = b.holder
	b.forwarder = b.holder
	b.decisions.Add(b.holder)
	return nil
}

// handOver lets other daemons go on with what is still in progress; it runs after all other drains.
func (b *builder) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	b.holder.HandOver(ctx)
}
