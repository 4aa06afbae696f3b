package claim

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/peer"
)

const (
	methodCommit = "claim.commit"
	// collectorTimeout bounds the wait for the collector before this daemon commits itself.
	collectorTimeout = 300 * time.Millisecond
	// releaseTries is how often the release of a claim that was never sent is tried.
	releaseTries = 20
	// releasePause lies between two of these tries.
	releasePause = 500 * time.Millisecond
	// maxReleases bounds the releases in progress.
	maxReleases = 64
	// ownersKept bounds the claims of this daemon whose outcomes are awaited.
	ownersKept = 100_000
)

var errNotOurs = errors.New("the claim is not of this daemon")

// Service is a chicoryhall.Claims.
type Service struct {
	store     chicoryhall.Table
	committer *Committer
	peers     chicoryhall.Peers
	members   chicoryhall.Members
	releases  errgroup.Group

	mu sync.Mutex
	// owned are this daemon's claims without an outcome, by row key.
	owned map[string]Entry
}

// New returns a Service; members and peers are nil for a daemon that is alone.
func New(store chicoryhall.Table, timer chicoryhall.Timer, peers chicoryhall.Peers, members chicoryhall.Members) *Service {
	s := &Service{
		store: store, committer: NewCommitter(store, timer), peers: peers, members: members, owned: map[string]Entry{},
	}
	s.releases.SetLimit(maxReleases)
	return s
}

// Attach lets other daemons of the failure domain commit here.
func (s *Service) Attach(node *peer.Node) {
	peer.Handle(node, methodCommit, func(ctx context.Context, _ chicoryhall.DaemonID, entry Entry) (committed, error) {
		verdict := s.committer.Commit(ctx, entry)
		return committed{Claim: verdict.Claim, Version: verdict.Version}, verdict.Err
	})
}

// committed is a collector's answer.
type committed struct {
	Claim   chicoryhall.ClaimResult `json:"claim"`
	Version int64                   `json:"version"`
}

// Serve commits batches until ctx ends.
func (s *Service) Serve(ctx context.Context) error {
	return s.committer.Serve(ctx)
}

// Claim inserts the key; after an error the request must not be sent.
func (s *Service) Claim(
	ctx context.Context, organisation chicoryhall.Organisation, service chicoryhall.ServiceName, key, fingerprint string,
) (chicoryhall.ClaimResult, error) {
	entry := Entry{Kind: Insert, Key: keyOf(organisation, service, key), Owner: rand.Text(), Fingerprint: fingerprint}
	answer, err := s.commit(ctx, entry)
	if err != nil {
		s.releases.TryGo(func() error { return s.release(entry) })
		return chicoryhall.ClaimResult{}, errors.WithMessage(err, "claim the request's key")
	}
	if answer.Claim.State == chicoryhall.ClaimOurs {
		entry.Version = answer.Version
		s.keep(entry)
	}
	return answer.Claim, nil
}

// Record stores the outcome of a claim that is ours.
func (s *Service) Record(
	ctx context.Context, organisation chicoryhall.Organisation, service chicoryhall.ServiceName, key, answer string,
) error {
	entry, ours := s.ownedEntry(keyOf(organisation, service, key))
	if !ours {
		return errNotOurs
	}
	entry.Kind, entry.Answer = Outcome, answer
	if _, err := s.commit(ctx, entry); err != nil {
		return errors.WithMessage(err, "record the outcome of a claim")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.owned, entry.Key)
	return nil
}

// Release gives up a claim that is ours and whose request certainly did not run, so that a repeat may.
func (s *Service) Release(
	ctx context.Context, organisation chicoryhall.Organisation, service chicoryhall.ServiceName, key string,
) error {
	entry, ours := s.ownedEntry(keyOf(organisation, service, key))
	if !ours {
		return errNotOurs
	}
	entry.Kind = Release
	if _, err := s.commit(ctx, entry); err != nil {
		return errors.WithMessage(err, "release a claim")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.owned, entry.Key)
	return nil
}

func (s *Service) keep(entry Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.owned) < ownersKept {
		s.owned[entry.Key] = entry
	}
}

func (s *Service) ownedEntry(key string) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ours := s.owned[key]
	return entry, ours
}

// commit goes through the failure domain's collector, or commits here when it does not answer.
func (s *Service) commit(ctx context.Context, entry Entry) (committed, error) {
	if collector, other := s.collector(); other {
		short, cancel := context.WithTimeout(ctx, collectorTimeout)
		answer, err := peer.Call[committed](short, s.peers, collector, methodCommit, entry)
		cancel()
		if err == nil {
			return answer, nil
		}
	}
	// The collector may have committed the entry: its owner then stands in the row.
	verdict := s.committer.Commit(ctx, entry)
	return committed{Claim: verdict.Claim, Version: verdict.Version}, verdict.Err
}

// collector returns the daemon that commits for this one's failure domain, by rendezvous hashing.
func (s *Service) collector() (id chicoryhall.DaemonID, other bool) {
	if s.members == nil {
		return "", false
	}
	self := s.members.Self()
	best, highest := self.ID, weight(self)
	for _, member := range s.members.All() {
		if member.FailureDomain != self.FailureDomain || member.State != chicoryhall.MemberAlive {
			continue
		}
		if w := weight(member); w > highest || (w == highest && member.ID < best) {
			best, highest = member.ID, w
		}
	}
	return best, best != self.ID
}

func weight(member chicoryhall.Member) uint64 {
	return xxhash.Sum64String(string(member.FailureDomain) + "/" + string(member.ID))
}

// release gives up a claim whose request was never sent, so that a repeat may run.
func (s *Service) release(entry Entry) error {
	for range releaseTries {
		ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
		done := s.tryRelease(ctx, entry)
		cancel()
		if done {
			return nil
		}
		time.Sleep(releasePause)
	}
	return nil
}

// tryRelease tells whether the claim was released. A late copy of the insert may still
// come after the last try; the key is then "unknown", which is safe.
func (s *Service) tryRelease(ctx context.Context, entry Entry) bool {
	row, found, err := s.store.Row(ctx, entry.Key)
	if err != nil || !found {
		return false
	}
	released, needed := release(entry, row)
	if !needed {
		return true
	}
	return s.committer.Commit(ctx, released).Err == nil
}
