package holder

import (
	"maps"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// takeover is the attempt to become the owner of a request; it waits for the agreement of the other
// daemons of the failure domain.
type takeover struct {
	claim TakeoverClaim
	// awaiting are the daemons that have not agreed yet.
	awaiting map[chicoryhall.DaemonID]bool
}

// ownerChange records which daemon owns a request, or is about to, instead of the daemon that the
// request's ID names. It is made when this daemon agrees to a claim or completes its own.
type ownerChange struct {
	owner      chicoryhall.DaemonID
	term       int64
	generation int64
	expiresAt  time.Time
}

// supersedes reports whether the claim has a higher term, or the same term and a higher generation,
// than the owner change that this daemon recorded before. If two backups claim the same request, the
// one with the lower term or generation fails, because the other one does not agree to its claim.
func (c TakeoverClaim) supersedes(recorded ownerChange) bool {
	return c.Term > recorded.term || (c.Term == recorded.term && c.Generation > recorded.generation)
}

// takeOverFrom begins to take over the requests of an owner whose process has ended.
func (s *State) takeOverFrom(owner chicoryhall.Member, now time.Time) {
	for _, r := range s.orderedReplicas() {
		ended := owner.State == chicoryhall.MemberDead || r.ownerStartIncarnation < owner.StartIncarnation
		if r.owner == owner.ID && ended && r.takeover == nil {
			s.beginTakeover(r, now)
		}
	}
}

// takeOverOwnerless begins to take over requests whose owner's process had ended before the replica
// arrived, so that processEnded did not see the replica.
func (s *State) takeOverOwnerless(now time.Time) {
	for _, r := range s.orderedReplicas() {
		owner, ok := s.peers[r.owner]
		ended := !ok || owner.StartIncarnation > r.ownerStartIncarnation
		if ended && r.takeover == nil && now.Sub(r.since) > ownerlessTimeout {
			s.beginTakeover(r, now)
		}
	}
}

func (s *State) orderedReplicas() []*replica {
	all := make([]*replica, 0, len(s.replicas))
	for _, id := range slices.Sorted(maps.Keys(s.replicas)) {
		all = append(all, s.replicas[id])
	}
	return all
}

// beginTakeover asks all other daemons of the failure domain for agreement. From here on, updates
// of the old owner are refused.
func (s *State) beginTakeover(r *replica, now time.Time) {
	keep := max(0, r.record.Deadline.Sub(now)) + retentionTime
	r.takeover = &takeover{
		claim:    TakeoverClaim{ID: r.record.ID, Term: r.term + 1, Generation: r.generation, KeepMillis: keep.Milliseconds()},
		awaiting: map[chicoryhall.DaemonID]bool{},
	}
	for id := range s.peers {
		if id != r.owner {
			r.takeover.awaiting[id] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.takeover.awaiting)) {
		s.emit(SendClaims{To: id, Claims: []TakeoverClaim{r.takeover.claim}})
	}
	s.completeTakeover(r, now)
}

// retryClaims asks the daemons again that have not replied.
func (s *State) retryClaims(now time.Time) {
	if now.Before(s.nextClaimRetry) {
		return
	}
	s.nextClaimRetry = now.Add(retryDelay)
	waiting := map[chicoryhall.DaemonID][]TakeoverClaim{}
	for _, r := range s.orderedReplicas() {
		if r.takeover == nil {
			continue
		}
		for id := range r.takeover.awaiting {
			waiting[id] = append(waiting[id], r.takeover.claim)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(waiting)) {
		s.emit(SendClaims{To: id, Claims: waiting[id]})
	}
}

// ReceiveClaims handles another daemon's takeover claims and returns a reply for each.
func (s *State) ReceiveClaims(from chicoryhall.DaemonID, claims []TakeoverClaim, now time.Time) ([]Reply, []Action) {
	replies := make([]Reply, len(claims))
	for i, claim := range claims {
		replies[i] = s.receiveClaim(from, claim, now)
	}
	return replies, s.flush()
}

// receiveClaim agrees to a claim unless this daemon knows a later owner or backup, has the finished
// answer, or knows a claim of another daemon that the given one does not supersede, as with equal
// claims.
func (s *State) receiveClaim(from chicoryhall.DaemonID, claim TakeoverClaim, now time.Time) Reply {
	if o, ok := s.owned[claim.ID]; ok && o.term >= claim.Term {
		return ReplyReplaced
	}
	if r, ok := s.replicas[claim.ID]; ok && (r.term >= claim.Term || (r.term == claim.Term-1 && r.generation > claim.Generation)) {
		return ReplyReplaced
	}
	if s.finishedAnswers.has(claim.ID) {
		return ReplyReplaced
	}
	if e, ok := s.ownerChanges[claim.ID]; ok && e.owner != from && !claim.supersedes(e) {
		return ReplyReplaced
	}
	s.ownerChanges[claim.ID] = ownerChange{
		owner: from, term: claim.Term, generation: claim.Generation, expiresAt: now.Add(time.Duration(claim.KeepMillis) * time.Millisecond),
	}
	s.dropReplica(claim.ID)
	if o, ok := s.owned[claim.ID]; ok {
		s.loseOwnership(o)
	}
	return ReplyAccepted
}

// ClaimsAnswered handles another daemon's replies to takeover claims.
func (s *State) ClaimsAnswered(from chicoryhall.DaemonID, claims []TakeoverClaim, replies []Reply, now time.Time) []Action {
	if len(claims) != len(replies) {
		return nil
	}
	for i, claim := range claims {
		r, ok := s.replicas[claim.ID]
		if !ok || r.takeover == nil || r.takeover.claim != claim {
			continue
		}
		if replies[i] == ReplyReplaced {
			s.dropReplica(claim.ID)
			continue
		}
		delete(r.takeover.awaiting, from)
		s.completeTakeover(r, now)
	}
	s.sendPending(now)
	return s.flush()
}

// stopAwaiting completes takeovers that wait only for a daemon that has ended.
func (s *State) stopAwaiting(id chicoryhall.DaemonID, now time.Time) {
	for _, r := range s.orderedReplicas() {
		if r.takeover != nil && r.takeover.awaiting[id] {
			delete(r.takeover.awaiting, id)
			s.completeTakeover(r, now)
		}
	}
}

// completeTakeover makes this daemon the owner if no reply is missing.
func (s *State) completeTakeover(r *replica, now time.Time) {
	if len(r.takeover.awaiting) > 0 {
		return
	}
	s.dropReplica(r.record.ID)
	s.ownerChanges[r.record.ID] = ownerChange{
		owner: s.self.ID, term: r.takeover.claim.Term, generation: r.generation,
		expiresAt: now.Add(time.Duration(r.takeover.claim.KeepMillis) * time.Millisecond),
	}
	record := r.record
	record.Attempt = (record.Attempt/attemptStride + 1) * attemptStride
	o := s.own(record, r.takeover.claim.Term)
	o.generation = r.generation
	o.resuming = true
	s.assignBackup(o, now)
}
