package configuration

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/peer"
)

// The RPC methods between daemons.
const (
	methodRumour  = "configuration.rumour"
	methodCompare = "configuration.compare"
	methodFetch   = "configuration.fetch"
	methodRefs    = "configuration.marks"
)

var (
	errNotReadYet = errors.New("not asked yet")
	errNoPeers    = errors.New("no peer is known")
)

// Attach registers the RPC methods at node and starts using its peers.
func (d *Documents) Attach(node *peer.Node, members chicoryhall.Members) {
	peer.Handle(node, methodRumour, d.handleRumour)
	peer.Handle(node, methodCompare, d.handleCompare)
	peer.Handle(node, methodFetch, d.handleFetch)
	peer.Handle(node, methodRefs, d.handleRefs)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers, d.members = node, members
}

func (d *Documents) handleRumour(_ context.Context, from chicoryhall.DaemonID, rumour Rumour) (struct{}, error) {
	d.enqueue(func(ctx context.Context) { d.fetchMissing(ctx, from, []VersionRef{rumour.Ref}) })
	return struct{}{}, nil
}

func (d *Documents) handleCompare(_ context.Context, from chicoryhall.DaemonID, request Comparison) (ComparisonResult, error) {
	d.mu.Lock()
	result := d.state.Compare(request)
	missing := d.state.Missing(request.Refs)
	d.mu.Unlock()
	if len(missing) > 0 {
		d.enqueue(func(ctx context.Context) { d.fetchMissing(ctx, from, missing) })
	}
	return result, nil
}

func (d *Documents) handleFetch(_ context.Context, _ chicoryhall.DaemonID, request Fetch) (FetchResult, error) {
	v, found := d.Version(request.Service)
	return FetchResult{Found: found, Version: v}, nil
}

// sendRumours sends a rumour of a new version to a few peers other than from, where it came from.
func (d *Documents) sendRumours(ref VersionRef, from chicoryhall.DaemonID) {
	ids := d.peersNotDead()
	d.mu.Lock()
	targets := d.selector.RumourTargets(ids, from)
	d.mu.Unlock()
	for _, id := range targets {
		d.enqueue(func(ctx context.Context) { _, _ = call[struct{}](ctx, d, id, methodRumour, Rumour{Ref: ref}) })
	}
}

// comparePeer compares versions with one random peer and reconciles the differences.
func (d *Documents) comparePeer(ctx context.Context) {
	ids := d.peersNotDead()
	d.mu.Lock()
	id, ok := d.selector.RandomPeer(ids)
	sum := d.state.Checksum()
	d.mu.Unlock()
	if !ok {
		d.notePeersError(errNoPeers)
		return
	}
	result, err := call[ComparisonResult](ctx, d, id, methodCompare, Comparison{Checksum: sum})
	if err != nil {
		d.notePeersError(errors.WithMessagef(err, "compare documents with %s", id))
		return
	}
	if !result.Same {
		d.reconcile(ctx, id, result.Refs)
	}
	d.notePeersRead()
}

// peersBeforePublish is the number of peers whose versions are read before a change is written to the table.
const peersBeforePublish = 8

// fetchFromPeers fetches newer versions from a few random peers, so that versions that the table has lost are
// detected.
func (d *Documents) fetchFromPeers(ctx context.Context) {
	ids := d.peersNotDead()
	d.mu.Lock()
	peers := d.selector.Sample(ids, peersBeforePublish)
	d.mu.Unlock()
	var group errgroup.Group
	for _, id := range peers {
		group.Go(func() error {
			result, err := call[ComparisonResult](ctx, d, id, methodRefs, struct{}{})
			if err == nil {
				d.fetchMissing(ctx, id, result.Refs)
			}
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors.
}

// reconcile fetches the versions that the peer has and this daemon lacks. If the peer lacks versions, it sends this
// daemon's refs to the peer, which then fetches them.
func (d *Documents) reconcile(ctx context.Context, id chicoryhall.DaemonID, refs []VersionRef) {
	d.fetchMissing(ctx, id, refs)
	d.mu.Lock()
	ahead := d.state.NewerThan(refs)
	diverging := d.state.Diverging(refs)
	own := d.state.Refs()
	sum := d.state.Checksum()
	d.mu.Unlock()
	for _, ref := range diverging {
		d.config.Log.Log(event.DocumentConflict, "service", ref.Service, "version", ref.Number, "digest", ref.Digest, "peer", id)
	}
	if len(ahead) > 0 {
		_, _ = call[ComparisonResult](ctx, d, id, methodCompare, Comparison{Checksum: sum, Refs: own})
	}
}

func (d *Documents) fetchMissing(ctx context.Context, id chicoryhall.DaemonID, refs []VersionRef) {
	d.mu.Lock()
	missing := d.state.Missing(refs)
	d.mu.Unlock()
	for _, ref := range missing {
		result, err := call[FetchResult](ctx, d, id, methodFetch, Fetch{Service: ref.Service})
		if err == nil && result.Found {
			d.apply(result.Version, id)
		}
	}
}

func call[R, P any](ctx context.Context, d *Documents, id chicoryhall.DaemonID, method string, params P) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return peer.Call[R](ctx, d.peers, id, method, params)
}

// peersNotDead returns the peers that are not believed dead; suspect and leaving ones are included.
func (d *Documents) peersNotDead() []chicoryhall.DaemonID {
	d.mu.Lock()
	members := d.members
	d.mu.Unlock()
	if members == nil {
		return nil
	}
	var ids []chicoryhall.DaemonID
	for _, member := range members.Others() {
		if member.State != chicoryhall.MemberDead {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// notePeersRead records that a comparison with a peer succeeded, and makes this daemon ready if this daemon has at least
// one document now. It does not become ready without a document, because the peer may itself be new.
func (d *Documents) notePeersRead() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.current) > 0 {
		d.ready = true
		return
	}
	d.peersErr = errors.New("the peers know no documents")
}

func (d *Documents) notePeersError(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peersErr = err
}
