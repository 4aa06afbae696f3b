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
	// coordinatorTimeout is how long this daemon waits for the coordinator before it commits an entry itself.
	coordinatorTimeout = 300 * time.Millisecond
	// maxReleaseAttempts bounds the attempts to release a claim whose insert failed.
	maxReleaseAttempts = 20
	// releasePause is the time between two of these attempts.
	releasePause = 500 * time.Millisecond
	// maxReleases bounds the failed inserts that are being released; beyond it they are not released.
	maxReleases = 64
	// maxPending bounds the claims that this daemon remembers until their outcome is recorded; a claim beyond it can
	// be neither recorded nor released.
	maxPending = 100_000
)

// errNotPending is returned for a key whose claim this daemon does not remember: another daemon holds it, its outcome was
// recorded, it was released, or there were maxPending claims when it was made.
var errNotPending = errors.New("this daemon remembers no pending claim of the key")

// Claims implements chicoryhall.Claims.
type Claims struct {
	store     chicoryhall.Table
	committer *Committer
	peers     chicoryhall.Peers
	members   chicoryhall.Members
	releases  errgroup.Group

	mu sync.Mutex
	// pending holds the claims of this daemon that have neither an outcome nor been released, by row key.
	pending map[string]Entry
}

// New returns Claims; members and peers are nil for a daemon without peers.
func New(store chicoryhall.Table, timer chicoryhall.Timer, peers chicoryhall.Peers, members chicoryhall.Members) *Claims {
	c := &Claims{
		store: store, committer: NewCommitter(store, timer), peers: peers, members: members, pending: map[string]Entry{},
	}
	c.releases.SetLimit(maxReleases)
	return c
}

// Attach registers the RPC method by which other daemons of the failure domain commit entries at this one.
func (c *Claims) Attach(node *peer.Node) {
	peer.Handle(node, methodCommit, func(ctx context.Context, _ chicoryhall.DaemonID, entry Entry) (commitResult, error) {
		result := c.committer.Commit(ctx, entry)
		return commitResult{Claim: result.Claim, Version: result.Version}, result.Err
	})
}

// commitResult is the coordinator's answer to an Entry.
type commitResult struct {
	Claim   chicoryhall.ClaimResult `json:"claim"`
	Version int64                   `json:"version"`
}

// Serve commits batches until ctx ends.
func (c *Claims) Serve(ctx context.Context) error {
	return c.committer.Serve(ctx)
}

// Claim inserts the key into the table. The request may be sent only if there is no error and the State is ClaimOurs.
func (c *Claims) Claim(
	ctx context.Context, organisation chicoryhall.Organisation, service chicoryhall.ServiceName, key, fingerprint string,
) (chicoryhall.ClaimResult, error) {
	entry := Entry{Kind: Insert, Key: rowKey(organisation, service, key), Owner: rand.Text(), Fingerprint: fingerprint}
	result, err := c.commit(ctx, entry)
	if err != nil {
		c.releases.TryGo(func() error { return c.releaseFailedInsert(entry) })
		return chicoryhall.ClaimResult{}, errors.WithMessage(err, "claim the request's key")
	}
	if result.Claim.State == chicoryhall.ClaimOurs {
		entry.Version = result.Version
		c.addPending(entry)
	}
	return result.Claim, nil
}

// Record stores the outcome of a claim of this daemon; answer is the stored answer of its request.
func (c *Claims) Record(
	ctx context.Context, organisation chicoryhall.Organisation, service chicoryhall.ServiceName, key, answer string,
) error {
	entry, found := c.pendingEntry(rowKey(organisation, service, key))
	if !found {
		return errNotPending
	}
	entry.Kind, entry.Answer = Outcome, answer
	if _, err := c.commit(ctx, entry); err != nil {
		return errors.WithMessage(err, "record the outcome of a claim")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, entry.Key)
	return nil
}

// Release gives up a claim of this daemon whose request certainly did not run, so that a repeat may run.
func (c *Claims) Release(
	ctx context.Context, organisation chicoryhall.Organisation, service chicoryhall.ServiceName, key string,
) error {
	entry, found := c.pendingEntry(rowKey(organisation, service, key))
	if !found {
		return errNotPending
	}
	entry.Kind = Release
	if _, err := c.commit(ctx, entry); err != nil {
		return errors.WithMessage(err, "release a claim")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, entry.Key)
	return nil
}

func (c *Claims) addPending(entry Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) < maxPending {
		c.pending[entry.Key] = entry
	}
}

func (c *Claims) pendingEntry(key string) (Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, found := c.pending[key]
	return entry, found
}

// commit commits an entry through the failure domain's coordinator, or at this daemon if the coordinator does not
// answer.
func (c *Claims) commit(ctx context.Context, entry Entry) (commitResult, error) {
	if coordinator, other := c.coordinator(); other {
		limited, cancel := context.WithTimeout(ctx, coordinatorTimeout)
		result, err := peer.Call[commitResult](limited, c.peers, coordinator, methodCommit, entry)
		cancel()
		if err == nil {
			return result, nil
		}
	}
	// If the coordinator did commit the entry, the second commit conflicts with the first and gets its result from the
	// row (see Entry.resolveConflict).
	result := c.committer.Commit(ctx, entry)
	return commitResult{Claim: result.Claim, Version: result.Version}, result.Err
}

// coordinator returns the daemon that commits the claims of this daemon's failure domain, chosen by rendezvous hashing
// among its live daemons; other reports whether that is another daemon.
func (c *Claims) coordinator() (id chicoryhall.DaemonID, other bool) {
	if c.members == nil {
		return "", false
	}
	self := c.members.Self()
	best, highest := self.ID, weight(self)
	for _, member := range c.members.Others() {
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

// releaseFailedInsert releases the claim of an insert that failed but may have taken effect. Its request was never
// sent, so a repeat may run. If all attempts fail, the key stays claimed.
func (c *Claims) releaseFailedInsert(entry Entry) error {
	for range maxReleaseAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
		done := c.tryReleaseInsert(ctx, entry)
		cancel()
		if done {
			return nil
		}
		time.Sleep(releasePause)
	}
	return nil
}

// tryReleaseInsert makes one attempt to release the claim of a failed insert, and reports whether
// nothing more has to be done. If the row is absent, the insert may still be on its way to the
// table. An insert that arrives after the last attempt leaves the key claimed without an outcome;
// repeats of the request then do not run, which is safe.
func (c *Claims) tryReleaseInsert(ctx context.Context, entry Entry) bool {
	row, found, err := c.store.Row(ctx, entry.Key)
	if err != nil || !found {
		return false
	}
	released, needed := releaseEntry(entry, row)
	if !needed {
		return true
	}
	return c.committer.Commit(ctx, released).Err == nil
}
