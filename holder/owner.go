package holder

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
)

// ownedRequest is a request whose owner is this daemon.
type ownedRequest struct {
	handle Handle
	record chicoryhall.RequestRecord
	// term counts the owners of the request, generation its backups.
	term       int64
	generation int64
	// backup is the daemon that has the replica, or empty.
	backup chicoryhall.DaemonID
	// formerBackups are earlier backups that still have a replica.
	formerBackups []formerBackup
	// confirmed is what the backup is known to have.
	confirmed backupState
	// ownershipUncertain means that the backup may have become the owner, see State.Fence. An
	// accepted update proves that it has not, because a backup that takes over refuses updates.
	ownershipUncertain bool
	// accepting and resuming mean that Accepted or Resume is due once the backup has the record.
	accepting bool
	resuming  bool
	// handOver means that the backup is asked to become the owner.
	handOver bool
	// raisingAttempt is the attempt for which AttemptRaised is due, or 0.
	raisingAttempt int
}

// formerBackup is an earlier backup and the generation of its replica.
type formerBackup struct {
	id         chicoryhall.DaemonID
	generation int64
}

// backupState is what a backup has of a request.
type backupState struct {
	record   bool
	tokens   int
	attempt  int
	finished bool
}

// latestState returns what an up-to-date backup has.
func (o *ownedRequest) latestState() backupState {
	return backupState{record: true, tokens: len(o.record.Tokens), attempt: o.record.Attempt, finished: o.record.Finished}
}

func (o *ownedRequest) isBackupBehind() bool {
	return o.backup != "" && (o.confirmed != o.latestState() || o.ownershipUncertain || o.handOver)
}

// Accept begins to replicate a new request. An Accepted action follows when the backup has replied. If
// no daemon can be the backup, it follows at once: with ErrNoBackup for an asynchronous request, and
// without an error for any other one.
func (s *State) Accept(record chicoryhall.RequestRecord, now time.Time) []Action {
	o := s.own(record, 1)
	o.accepting = true
	s.assignBackup(o, now)
	s.sendPending(now)
	return s.flush()
}

func (s *State) own(record chicoryhall.RequestRecord, term int64) *ownedRequest {
	s.lastHandle++
	o := &ownedRequest{handle: s.lastHandle, record: record, term: term}
	s.owned[record.ID] = o
	s.ownedByHandle[o.handle] = o
	return o
}

// RaiseAttempt sets a request's attempt number. An AttemptRaised action follows when the backup has
// replied, or at once if there is no backup.
func (s *State) RaiseAttempt(id chicoryhall.RequestID, attempt int, now time.Time) []Action {
	o, ok := s.owned[id]
	if !ok {
		return []Action{AttemptRaised{ID: id, Attempt: attempt, Err: chicoryhall.ErrTakenOver}}
	}
	o.record.Attempt = max(o.record.Attempt, attempt)
	o.raisingAttempt = attempt
	s.notifyProgress(o)
	s.sendPending(now)
	return s.flush()
}

// AppendTokens adds tokens from the given position of the answer on. A TokensReleased action
// follows when the backup has replied, or at once if there is no backup.
func (s *State) AppendTokens(id chicoryhall.RequestID, position int, tokens []digest.Token, now time.Time) []Action {
	o, ok := s.owned[id]
	if !ok {
		return []Action{TokensReleased{ID: id, End: position + len(tokens), Err: chicoryhall.ErrTakenOver}}
	}
	if have := len(o.record.Tokens); position <= have && position+len(tokens) > have {
		o.record.Tokens = append(o.record.Tokens, tokens[have-position:]...)
	}
	s.notifyProgress(o)
	// Only this request's backup can have something new to receive. While a batch to it is in
	// flight, the tokens wait for the next one.
	if o.isBackupBehind() && s.senderTo(o.backup).inFlight == 0 {
		s.sendPending(now)
	}
	return s.flush()
}

// Finish records the outcome of a request.
func (s *State) Finish(id chicoryhall.RequestID, outcome chicoryhall.Outcome, now time.Time) []Action {
	o, ok := s.owned[id]
	if !ok {
		return nil
	}
	o.record.Finished = true
	o.record.Outcome = outcome
	s.notifyProgress(o)
	s.sendPending(now)
	return s.flush()
}

// HandOver asks the backups to become the owners of all requests that this daemon owns.
func (s *State) HandOver(now time.Time) []Action {
	for _, o := range s.orderedOwned() {
		o.handOver = true
	}
	s.sendPending(now)
	return s.flush()
}

// Abandon drops a request that was not accepted in time.
func (s *State) Abandon(id chicoryhall.RequestID, now time.Time) []Action {
	o, ok := s.owned[id]
	if !ok {
		return nil
	}
	s.setBackup(o, "") // The present backup becomes a former one.
	s.dropFormerReplicas(o)
	s.disown(o)
	s.sendPending(now)
	return s.flush()
}

// OwnedCount returns the number of requests whose owner is this daemon.
func (s *State) OwnedCount() int { return len(s.owned) }

// notifyProgress emits the actions that are due according to what the backup has confirmed. Without a
// backup, everything counts as replicated. Once the outcome is replicated, the request is
// no longer owned.
func (s *State) notifyProgress(o *ownedRequest) {
	have := o.confirmed
	if o.backup == "" {
		have = o.latestState()
	}
	if !have.record {
		return
	}
	if o.accepting {
		o.accepting = false
		s.emit(Accepted{ID: o.record.ID})
	}
	if o.resuming {
		o.resuming = false
		s.emit(Resume{Record: o.record})
	}
	if o.raisingAttempt != 0 && have.attempt >= o.raisingAttempt {
		s.emit(AttemptRaised{ID: o.record.ID, Attempt: o.raisingAttempt})
		o.raisingAttempt = 0
	}
	s.emit(TokensReleased{ID: o.record.ID, End: have.tokens})
	if have.finished {
		s.disown(o)
	}
}

// loseOwnership drops a request that has another owner.
func (s *State) loseOwnership(o *ownedRequest) {
	id := o.record.ID
	s.disown(o)
	if o.accepting {
		s.emit(Accepted{ID: id, Err: chicoryhall.ErrTakenOver})
	}
	if o.raisingAttempt != 0 {
		s.emit(AttemptRaised{ID: id, Attempt: o.raisingAttempt, Err: chicoryhall.ErrTakenOver})
	}
	s.emit(TokensReleased{ID: id, End: len(o.record.Tokens), Err: chicoryhall.ErrTakenOver})
}

func (s *State) disown(o *ownedRequest) {
	delete(s.owned, o.record.ID)
	delete(s.ownedByHandle, o.handle)
}

// assignBackup chooses a backup for a request that has none. Without a candidate, an asynchronous
// request that is not accepted yet is refused; any other request runs without a backup.
func (s *State) assignBackup(o *ownedRequest, now time.Time) {
	next, ok := s.nextBackup(o, now)
	if ok {
		s.setBackup(o, next)
		return
	}
	if o.accepting && o.record.Async {
		s.disown(o)
		s.emit(Accepted{ID: o.record.ID, Err: ErrNoBackup})
		return
	}
	s.emit(NoBackup{ID: o.record.ID})
	s.notifyProgress(o)
}

// nextBackup returns the best backup other than the present one, if necessary one that was slow to
// reply.
func (s *State) nextBackup(o *ownedRequest, now time.Time) (chicoryhall.DaemonID, bool) {
	if id, ok := s.responsiveBackup(o, now); ok {
		return id, true
	}
	for _, id := range backupCandidates(o.record.ID, s.self.ID, s.alive()) {
		if id != o.backup {
			return id, true
		}
	}
	return "", false
}

// responsiveBackup returns the best backup other than the present one that was not slow to reply
// recently.
func (s *State) responsiveBackup(o *ownedRequest, now time.Time) (chicoryhall.DaemonID, bool) {
	for _, id := range backupCandidates(o.record.ID, s.self.ID, s.alive()) {
		if id != o.backup && !now.Before(s.slowUntil[id]) {
			return id, true
		}
	}
	return "", false
}

// setBackup makes a daemon the backup, which has nothing of the request yet; "" means none.
func (s *State) setBackup(o *ownedRequest, backup chicoryhall.DaemonID) {
	if o.backup != "" {
		o.formerBackups = append(o.formerBackups, formerBackup{id: o.backup, generation: o.generation})
	}
	o.backup = backup
	o.generation++
	o.confirmed = backupState{}
}

// dropFormerReplicas tells earlier backups to drop their replicas. It must be called only when the
// present backup has the record, or when the request is dropped.
func (s *State) dropFormerReplicas(o *ownedRequest) {
	for _, former := range o.formerBackups {
		if _, ok := s.peers[former.id]; ok {
			sender := s.senderTo(former.id)
			sender.drops = append(sender.drops, Update{Handle: o.handle, Term: o.term, Generation: former.generation, Drop: true})
		}
	}
	o.formerBackups = nil
}

// replaceLostBackup chooses another backup because the process of the present one has ended. If the
// ownership is uncertain, it is given up instead.
func (s *State) replaceLostBackup(o *ownedRequest, now time.Time) {
	if o.ownershipUncertain {
		s.loseOwnership(o) // The backup may have become the owner while this daemon was paused.
		return
	}
	o.backup = ""
	s.assignBackup(o, now)
}

// reassignBackups replaces backups that are leaving, and chooses one for requests without a backup.
func (s *State) reassignBackups(now time.Time) {
	for _, o := range s.orderedOwned() {
		backup, ok := s.peers[o.backup]
		switch {
		case o.ownershipUncertain || o.record.Finished:
		case o.backup == "" && len(s.alive()) > 0:
			if next, found := s.nextBackup(o, now); found {
				s.setBackup(o, next)
			}
		case ok && backup.State == chicoryhall.MemberLeaving:
			if next, found := s.nextBackup(o, now); found {
				s.setBackup(o, next)
			}
		}
	}
}
