package configuration

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/peer"
)

// The methods between daemons.
const (
	methodRumour  = "configuration.rumour"
	methodCompare = "configuration.compare"
	methodFetch   = "configuration.fetch"
	methodMarks   = "configuration.marks"
)

var (
	errNotAsked = errors.New("not asked yet")
	errNoPeers  = errors.New("no peer is known")
)

// Attach registers the methods at node and begins to use the peers.
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

func (s *Service) handleCompare(_ context.Context, from chicoryhall.DaemonID, asked Comparison) (ComparisonResult, error) {
	s.mu.Lock()
	result := s.state.Compare(asked)
	missing := s.state.Missing(asked.Marks)
	s.mu.Unlock()
	if len(missing) > 0 {
		s.enqueue(func(ctx context.Context) { s.fetchMissing(ctx, from, missing) })
	}
	return result, nil
}

func (s *Service) handleFetch(_ context.Context, _ chicoryhall.DaemonID, asked Fetch) (FetchResult, error) {
	v, found := s.Version(asked.Service)
	return FetchResult{Found: found, Version: v}, nil
}

// tell passes a new version's mark on to a few peers.
func (s *Service) tell(mark Mark, from chicoryhall.DaemonID) {
	ids := s.aliveMembers()
	s.mu.Lock()
	told := s.spread.Tell(ids, from)
	s.mu.Unlock()
	for _, id := range told {
		s.enqueue(func(ctx context.Context) { _, _ = call[struct{}](ctx, s, id, methodRumour, Rumour{Mark: mark}) })
	}
}

// comparePeer exchanges marks with one random peer when the sums differ.
func (s *Service) comparePeer(ctx context.Context) {
	ids := s.aliveMembers()
	s.mu.Lock()
	id, ok := s.spread.Ask(ids)
	sum := s.state.Sum()
	s.mu.Unlock()
	if !ok {
		s.peersFailed(errNoPeers)
		return
	}
	result, err := call[ComparisonResult](ctx, s, id, methodCompare, Comparison{Sum: sum})
	if err != nil {
		s.peersFailed(errors.WithMessagef(err, "compare documents with %s", id))
		return
	}
	if !result.Same {
		s.reconcile(ctx, id, result.Marks)
	}
	s.peersRead()
}

// askedBeforePublishing bounds the peers that are compared with before a change is written.
const askedBeforePublishing = 8

// askPeers learns what a few random peers know, so that a table that lost versions is noticed.
func (s *Service) askPeers(ctx context.Context) {
	ids := s.aliveMembers()
	s.mu.Lock()
	asked := s.spread.Sample(ids, askedBeforePublishing)
	s.mu.Unlock()
	var group errgroup.Group
	for _, id := range asked {
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

// reconcile fetches what this daemon lacks and shows the peer what it lacks.
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
			s.learn(result.Version, id)
		}
	}
}

func call[R, P any](ctx context.Context, s *Service, id chicoryhall.DaemonID, method string, params P) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return peer.Call[R](ctx, s.peers, id, method, params)
}

// aliveMembers returns the peers that may answer.
func (s *Service) aliveMembers() []chicoryhall.DaemonID {
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

// peersRead notes that a peer's documents are known here; a peer that is itself new does not count.
func (s *Service) peersRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.parsed) > 0 {
		s.ready = true
		return
	}
	s.peersErr = errors.New("the peers know no documents")
}

func (s *Service) peersFailed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peersErr = err
}
