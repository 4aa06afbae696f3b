package daemon

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/idempotency"
	"chicoryhall.example/chicoryhall/peer"
)

const (
	// ownerTimeout bounds one call to an owner of a key; then the next one decides.
	ownerTimeout = 200 * time.Millisecond
	// The methods between daemons.
	methodDecide  = "keys.decide"
	methodLearn   = "keys.learn"
	methodRelease = "keys.release"
)

// keyDesk is a requests.Keys: it asks the owner of a key, or decides as the owner.
type keyDesk struct {
	self    chicoryhall.DaemonID
	table   *idempotency.Table
	members chicoryhall.Members
	node    *peer.Node
	timer   chicoryhall.Timer
	work    errgroup.Group
}

// buildKeys adds what makes a key that is sent to several daemons one request.
func (b *builder) buildKeys() error {
	desk := &keyDesk{
		self: b.settings.ID, table: idempotency.NewTable(), members: b.members, node: b.node, timer: b.timer,
	}
	peer.Handle(b.node, methodDecide, desk.handleDecide)
	peer.Handle(b.node, methodLearn, desk.handleLearn)
	peer.Handle(b.node, methodRelease, desk.handleRelease)
	b.keys = desk
	return nil
}

// Decide asks the owners in their order; without any of them this daemon decides.
func (d *keyDesk) Decide(ctx context.Context, p idempotency.Proposal) idempotency.Decision {
	for _, owner := range idempotency.OwnersOf(p.Key, d.members) {
		if owner == d.self {
			return d.decideHere(p)
		}
		call, cancel := context.WithTimeout(ctx, ownerTimeout)
		decision, err := peer.Call[idempotency.Decision](call, d.node, owner, methodDecide, p)
		cancel()
		if err == nil {
			return decision
		}
	}
	return d.table.Decide(p, d.timer.Now())
}

// decideHere decides as the owner and lets the other owners learn a new decision.
func (d *keyDesk) decideHere(p idempotency.Proposal) idempotency.Decision {
	decision := d.table.Decide(p, d.timer.Now())
	if decision.Request == p.Request {
		d.tellOwners(p.Key, methodLearn, p)
	}
	return decision
}

// Release frees a key whose request was not run.
func (d *keyDesk) Release(key idempotency.Key, request chicoryhall.RequestID) {
	d.table.Release(key, request)
	d.tellOwners(key, methodRelease, idempotency.Proposal{Key: key, Request: request})
}

// tellOwners sends a message to the other owners of a key.
func (d *keyDesk) tellOwners(key idempotency.Key, method string, p idempotency.Proposal) {
	for _, owner := range idempotency.OwnersOf(key, d.members) {
		if owner == d.self {
			continue
		}
		d.work.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
			defer cancel()
			// A lost message costs at most a second run after the owner is lost as well.
			_ = peer.Notify(ctx, d.node, owner, method, p)
			return nil
		})
	}
}

func (d *keyDesk) handleDecide(_ context.Context, _ chicoryhall.DaemonID, p idempotency.Proposal) (idempotency.Decision, error) {
	return d.decideHere(p), nil
}

func (d *keyDesk) handleLearn(_ context.Context, _ chicoryhall.DaemonID, p idempotency.Proposal) (struct{}, error) {
	d.table.Learn(p, d.timer.Now())
	return struct{}{}, nil
}

func (d *keyDesk) handleRelease(_ context.Context, _ chicoryhall.DaemonID, p idempotency.Proposal) (struct{}, error) {
	d.table.Release(p.Key, p.Request)
	return struct{}{}, nil
}
