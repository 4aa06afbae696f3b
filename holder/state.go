package holder

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
)

// ErrNoBackup means that the failure domain has no other daemon that can be the backup.
var ErrNoBackup = errors.New("no other daemon of the failure domain can hold the request")

const (
	// retryDelay is the time before the next batch to a backup that did not reply in time, and
	// before takeover claims without a reply are sent again.
	retryDelay = 100 * time.Millisecond
	// ownerlessTimeout is how long a replica must have existed before its request is taken over
	// because the owner's process is not known or has been replaced by a newer one.
	ownerlessTimeout = 5 * time.Second
	// slowPeriod is how long a backup that did not reply in time gets no further requests.
	slowPeriod = time.Second
	// retentionTime is how long replicas and takeover claims are kept beyond a request's deadline.
	retentionTime = time.Minute
	// attemptStride separates the attempt numbers of successive owners: each new owner starts at the
	// next multiple of it. Package stream allows one owner far fewer attempts, so the numbers of two
	// owners do not overlap.
	attemptStride = 1000
)

// State is the state machine of one daemon, both as owner and as backup of requests. It is not safe
// for concurrent use.
type State struct {
	self chicoryhall.Member
	// peers are the other daemons of the failure domain that are not dead.
	peers     map[chicoryhall.DaemonID]chicoryhall.Member
	slowUntil map[chicoryhall.DaemonID]time.Time

	owned         map[chicoryhall.RequestID]*ownedRequest
	ownedByHandle map[Handle]*ownedRequest
	lastHandle    Handle
	senders       map[chicoryhall.DaemonID]*batchSender
	lastBatch     uint64

	replicas        map[chicoryhall.RequestID]*replica
	replicaByHandle map[remoteHandle]*replica
	finishedAnswers *answerStore
	// ownerChanges has an entry for each request that is, or may be, owned by another daemon than
	// the one that its ID names.
	ownerChanges map[chicoryhall.RequestID]ownerChange
	// nextClaimRetry is when takeover claims without a reply are sent again.
	nextClaimRetry time.Time

	actions []Action
}

// New returns the State of a daemon that has no requests yet.
func New(self chicoryhall.Member) *State {
	return &State{
		self:            self,
		peers:           map[chicoryhall.DaemonID]chicoryhall.Member{},
		slowUntil:       map[chicoryhall.DaemonID]time.Time{},
		owned:           map[chicoryhall.RequestID]*ownedRequest{},
		ownedByHandle:   map[Handle]*ownedRequest{},
		senders:         map[chicoryhall.DaemonID]*batchSender{},
		replicas:        map[chicoryhall.RequestID]*replica{},
		replicaByHandle: map[remoteHandle]*replica{},
		finishedAnswers: newAnswerStore(),
		ownerChanges:    map[chicoryhall.RequestID]ownerChange{},
	}
}

// MemberChanged handles a change of another daemon's membership entry.
func (s *State) MemberChanged(member chicoryhall.Member, now time.Time) []Action {
	if member.ID == s.self.ID || member.FailureDomain != s.self.FailureDomain {
		return nil
	}
	known, wasKnown := s.peers[member.ID]
	s.peers[member.ID] = member
	if member.State == chicoryhall.MemberDead {
		delete(s.peers, member.ID)
	}
	restarted := wasKnown && known.StartIncarnation != member.StartIncarnation
	if member.State == chicoryhall.MemberDead || restarted {
		s.processEnded(member, now)
	}
	if member.State != chicoryhall.MemberSuspect {
		s.reassignBackups(now)
	}
	s.sendPending(now)
	return s.flush()
}

// processEnded handles the end of another daemon's process. The requests that have it as backup get
// another backup, and the requests that it owned are taken over.
func (s *State) processEnded(member chicoryhall.Member, now time.Time) {
	delete(s.senders, member.ID)
	for _, o := range s.orderedOwned() {
		if o.backup == member.ID {
			s.replaceLostBackup(o, now)
		}
	}
	s.stopAwaiting(member.ID, now)
	s.takeOverFrom(member, now)
}

// Fence records that other daemons may have declared this one dead and taken over its requests.
// From here on the ownership of each request is uncertain until its backup has accepted an update
// that was sent after this call. The fencing numbers of orders (see package chicoryhall) are not
// involved.
func (s *State) Fence() {
	for _, o := range s.owned {
		o.ownershipUncertain = o.backup != ""
	}
	for _, sender := range s.senders {
		for i := range sender.sent {
			sender.sent[i].sentBeforeFence = true
		}
	}
}

// Tick handles everything that depends on the time.
func (s *State) Tick(now time.Time) []Action {
	s.expire(now)
	s.takeOverOwnerless(now)
	s.retryClaims(now)
	s.reassignBackups(now)
	s.sendPending(now)
	return s.flush()
}

// alive returns the daemons that can become backups.
func (s *State) alive() []chicoryhall.DaemonID {
	var ids []chicoryhall.DaemonID
	for _, id := range slices.Sorted(maps.Keys(s.peers)) {
		if s.peers[id].State == chicoryhall.MemberAlive {
			ids = append(ids, id)
		}
	}
	return ids
}

// orderedOwned returns the owned requests by handle, so that equal inputs give equal actions.
func (s *State) orderedOwned() []*ownedRequest {
	all := make([]*ownedRequest, 0, len(s.owned))
	for _, handle := range slices.Sorted(maps.Keys(s.ownedByHandle)) {
		all = append(all, s.ownedByHandle[handle])
	}
	return all
}

func (s *State) emit(action Action) { s.actions = append(s.actions, action) }

func (s *State) flush() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

// expire drops what is kept for requests whose deadline passed more than retentionTime ago.
func (s *State) expire(now time.Time) {
	for id, r := range s.replicas {
		if now.Sub(r.record.Deadline) > retentionTime {
			s.dropReplica(id)
		}
	}
	for id, e := range s.ownerChanges {
		if now.After(e.expiresAt) {
			delete(s.ownerChanges, id)
		}
	}
	s.finishedAnswers.expire(now)
}
