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
	// ownerTimeout bounds one call to an owner of a key. After that, the next owner is asked.
	ownerTimeout = 200 * time.Millisecond
	// releaseTries is how often an owner is told that a key is free until it confirms.
	releaseTries = 3
	// The names of the methods that daemons call on each other.
	methodDecide  = "keys.decide"
	methodLearn   = "keys.learn"
	methodRelease = "keys.release"
)

// keyRegistry implements requests.IdempotencyKeys. Each idempotency key has a few owners among the daemons; the first one
// reachable decides which request the key stands for.
type keyRegistry struct {
	self      chicoryhall.DaemonID
	decisions *idempotency.Decisions
	members   chicoryhall.Members
	node      *peer.Node
	timer     chicoryhall.Timer
	notices   errgroup.Group
}

// buildKeys adds the component that maps an idempotency key to one request even if it is sent to several daemons.
func (b *builder) buildKeys() error {
	registry := &keyRegistry{
		self: b.settings.ID, decisions: idempotency.NewDecisions(), members: b.members, node: b.node, timer: b.timer,
	}
	peer.Handle(b.node, methodDecide, registry.handleDecide)
	peer.Handle(b.node, methodLearn, registry.handleLearn)
	peer.Handle(b.node, methodRelease, registry.handleRelease)
	b.keys = registry
	return nil
}

// Decide asks the key's owners in order. If none can be reached, this daemon decides.
func (r *keyRegistry) Decide(ctx context.Context, p idempotency.Proposal) idempotency.Decision {
	for _, owner := range idempotency.ReplicasOf(p.Key, r.members) {
		if owner == r.self {
			return r.decideAsOwner(p)
		}
		call, cancel := context.WithTimeout(ctx, ownerTimeout)
		decision, err := peer.Call[idempotency.Decision](call, r.node, owner, methodDecide, p)
		cancel()
		if err == nil {
			return decision
		}
	}
	return r.decisions.Decide(p, r.timer.Now())
}

// decideAsOwner decides locally and sends a new decision to the other owners.
func (r *keyRegistry) decideAsOwner(p idempotency.Proposal) idempotency.Decision {
	decision := r.decisions.Decide(p, r.timer.Now())
	if decision.Request == p.Request { // the decision is new
		r.forOtherOwners(p.Key, func(owner chicoryhall.DaemonID) { r.learnAt(owner, p) })
	}
	return decision
}

// Release frees a key whose request was not run, so that it can be used again. It does not wait for the other owners.
func (r *keyRegistry) Release(key idempotency.Key, request chicoryhall.RequestID) {
	r.decisions.Release(key, request)
	released := idempotency.Proposal{Key: key, Request: request}
	r.forOtherOwners(key, func(owner chicoryhall.DaemonID) { r.releaseAt(owner, released) })
}

// releaseAt tells an owner that a key is free. If all tries fail, the key stays taken for repeats at other daemons than
// this one.
func (r *keyRegistry) releaseAt(owner chicoryhall.DaemonID, released idempotency.Proposal) {
	for range releaseTries {
		ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
		_, err := peer.Call[struct{}](ctx, r.node, owner, methodRelease, released)
		cancel()
		if err == nil {
			return
		}
	}
}

// learnAt tells an owner of a decision. The loss of the message matters only if the owner that decided fails as well. Then
// a repeat may be run again.
func (r *keyRegistry) learnAt(owner chicoryhall.DaemonID, decided idempotency.Proposal) {
	ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
	defer cancel()
	_ = peer.Notify(ctx, r.node, owner, methodLearn, decided)
}

// forOtherOwners calls a function for each other owner of a key without waiting for it.
func (r *keyRegistry) forOtherOwners(key idempotency.Key, call func(owner chicoryhall.DaemonID)) {
	for _, owner := range idempotency.ReplicasOf(key, r.members) {
		if owner == r.self {
			continue
		}
		r.notices.Go(func() error {
			call(owner)
			return nil
		})
	}
}

func (r *keyRegistry) handleDecide(_ context.Context, _ chicoryhall.DaemonID, p idempotency.Proposal) (idempotency.Decision, error) {
	return r.decideAsOwner(p), nil
}

func (r *keyRegistry) handleLearn(_ context.Context, _ chicoryhall.DaemonID, p idempotency.Proposal) (struct{}, error) {
	r.decisions.Record(p, r.timer.Now())
	return struct{}{}, nil
}

func (r *keyRegistry) handleRelease(_ context.Context, _ chicoryhall.DaemonID, p idempotency.Proposal) (struct{}, error) {
	r.decisions.Release(p.Key, p.Request)
	return struct{}{}, nil
}
