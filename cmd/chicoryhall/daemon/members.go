package daemon

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/membership"
	"chicoryhall.example/chicoryhall/peer"
	"chicoryhall.example/chicoryhall/settings"
)

// goodbyeTimeout bounds the time for telling peers that this daemon exits.
const goodbyeTimeout = time.Second

// buildPeers adds the connections to other daemons.
func (b *builder) buildPeers() error {
	b.peerMetrics = metrics.NewSet()
	node, err := peer.New(peer.Config{
		Self: b.settings.ID, Listen: b.settings.Listen.Peers, Timer: b.timer, Logger: b.log, Metrics: b.peerMetrics,
	})
	if err != nil {
		return err
	}
	b.node = node
	b.knowledge.Add(node)
	return nil
}

// buildMembers adds the membership view of all daemons.
func (b *builder) buildMembers() error {
	started := b.timer.Now()
	self := selfMember(b.settings)
	self.Incarnation = started.UnixMilli()
	view := membership.Start(membership.Config{
		Self: self, Seeds: b.settings.Seeds, RandomSeed: xxhash.Sum64String(string(self.ID)),
	}, b.node, b.timer, b.log)
	b.members = view
	b.membership = view
	b.knowledge.Add(view)
	b.drains = append(b.drains, func(context.Context) { view.AnnounceLeaving() })
	return nil
}

// sayGoodbye tells peers that this daemon exits. It runs last in a graceful shutdown.
func (b *builder) sayGoodbye() {
	ctx, cancel := context.WithTimeout(context.Background(), goodbyeTimeout)
	defer cancel()
	b.membership.AnnounceExit(ctx)
}

// selfMember returns this daemon's membership entry as described by its settings.
func selfMember(own settings.DocumentDaemon) chicoryhall.Member {
	return chicoryhall.Member{
		ID: own.ID, Region: own.Region, FailureDomain: own.FailureDomain,
		PeerAddress: own.PeerAddress(), CallerAddress: own.CallerAddress(), State: chicoryhall.MemberAlive,
	}
}
