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
	methodMarks   = "configuration.marks"
)

var (
	errNotReadYet = errors.New("not asked yet")
	errNoPeers    = errors.New("no peer is known")
)

// Attach registers the RPC methods at node and starts using its peers.
func (s *Service) Attach(node *peer.Node, members chicoryhall.Members) {
	peer.Handle(node, methodRumour, s.handleRumour)
	peer.Handle(node, methodCompare, s.handleCompare)
	peer.Handle(node, methodFetch, s.handleFetch)
	peer.Handle(node, methodMarks, s.handleMarks)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers, s.members = node, members
}

func (s *Service) handleRumour(_ context.Context, from chicoryhall.DaemonID, rumour Rumour) (struct{}, error) {
	s.enqueue(func(ctx context.Context) { s.fetchMissing(ctx, from, []Mark{rumour.Mark}) })
	return struct{}{}, nil
}

func (s *Service) handleCompare(_ context.Context, from chicoryhall.DaemonID, request Comparison) (ComparisonResult, error) {
	s.mu.Lock()
	result := s.state.Compare(request)
	missing := s.state.Missing(request.Marks)
	s.mu.Unlock()
	if len(missing) > 0 {
		s.enqueue(func(ctx context.Context) { s.fetchMissing(ctx, from, missing) })
	}
	return result, nil
}

func (s *Service) handleFetch(_ context.Context, _ chicoryhall.DaemonID, request Fetch) (FetchResult, error) {
	v, found := s.Version(request.Service)
	return FetchResult{Found: found, Version: v}, nil
}

// sendRumours sends a rumour of a new version to a few peers other than from, where it came from.
func (s *Service) sendRumours(mark Mark, from chicoryhall.DaemonID) {
	ids := s.reachablePeers()
	s.mu.Lock()
	targets := s.spread.Tell(ids, from)
	s.mu.Unlock()
	for _, id := range targets {
		s.enqueue(func(ctx context.Context) { _, _ = call[struct{}](ctx, s, id, methodRumour, Rumour{Mark: mark}) })
	}
}

// comparePeer compares versions with one random peer and reconciles the differences.
func (s *Service) comparePeer(ctx context.Context) {
	ids := s.reachablePeers()
	s.mu.Lock()
	id, ok := s.spread.Ask(ids)
	sum := s.state.Sum()
	s.mu.Unlock()
	if !ok {
		s.notePeersError(errNoPeers)
		return
	}
	result, err := call[ComparisonResult](ctx, s, id, methodCompare, Comparison{Sum: sum})
	if err != nil {
		s.notePeersError(errors.WithMessagef(err, "compare documents with %s", id))
		return
	}
	if !result.Same {
		s.reconcile(ctx, id, result.Marks)
	}
	s.notePeersRead()
}

// peersBeforePublish is the number of peers whose versions are read before a change is written to the table.
const peersBeforePublish = 8

// fetchFromPeers fetches newer versions from a few random peers, so that versions that the table has lost are
// detected.
func (s *Service) fetchFromPeers(ctx context.Context) {
	ids := s.reachablePeers()
	s.mu.Lock()
	peers := s.spread.Sample(ids, peersBeforePublish)
	s.mu.Unlock()
	var group errgroup.Group
	for _, id := range peers {
		group.Go(func() error {
			result, err := call[ComparisonResult](ctx, s, id, methodMarks, struct{}{})
			if err == nil {
				s.fetchMissing(ctx, id, result.Marks)
			}
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors.
}

// reconcile fetches the versions that the peer has and this daemon lacks, and sends the peer this daemon's marks if
// it is behind, so that it fetches in turn.
func (s *Service) reconcile(ctx context.Context, id chicoryhall.DaemonID, marks []Mark) {
	s.fetchMissing(ctx, id, marks)
	s.mu.Lock()
	ahead := s.state.Ahead(marks)
	disputed := s.state.Disputed(marks)
	own := s.state.Marks()
	sum := s.state.Sum()
	s.mu.Unlock()
	for _, mark := range disputed {
		s.config.Log.Log(event.DocumentConflict, "service", mark.Service, "version", mark.Number, "digest", mark.Digest, "peer", id)
	}
	if len(ahead) > 0 {
		_, _ = call[ComparisonResult](ctx, s, id, methodCompare, Comparison{Sum: sum, Marks: own})
	}
}

func (s *Service) fetchMissing(ctx context.Context, id chicoryhall.DaemonID, marks []Mark) {
	s.mu.Lock()
	missing := s.state.Missing(marks)
	s.mu.Unlock()
	for _, mark := range missing {
		result, err := call[FetchResult](ctx, s, id, methodFetch, Fetch{Service: mark.Service})
		if err == nil && result.Found {
			s.apply(result.Version, id)
		}
	}
}

func call[R, P any](ctx context.Context, s *Service, id chicoryhall.DaemonID, method string, params P) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return peer.Call[R](ctx, s.peers, id, method, params)
}

// reachablePeers returns the peers that are not known to be dead.
func (s *Service) reachablePeers() []chicoryhall.DaemonID {
	s.mu.Lock()
	members := s.members
	s.mu.Unlock()
	if members == nil {
		return nil
	}
	var ids []chicoryhall.DaemonID
	for _, member := range members.All() {
		if member.State != chicoryhall.MemberDead {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// notePeersRead makes the Service ready after documents were read from a peer. A peer without any documents does not
// count, as it may itself be new.
func (s *Service) notePeersRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.current) > 0 {
		s.ready = true
		return
	}
	s.peersErr = errors.New("the peers know no documents")
}

func (s *Service) notePeersError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peersErr = err
}
