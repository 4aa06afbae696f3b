package holder

import (
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// replica is the copy of a request whose backup is this daemon.
type replica struct {
	record                chicoryhall.RequestRecord
	owner                 chicoryhall.DaemonID
	ownerStartIncarnation int64
	handle                Handle
	term                  int64
	generation            int64
	// since is when the replica was created.
	since time.Time
	// takeover is set once this daemon has begun to take over the request.
	takeover *takeover
}

// remoteHandle identifies a replica by its owner's handle.
type remoteHandle struct {
	owner                 chicoryhall.DaemonID
	ownerStartIncarnation int64
	handle                Handle
}

// ReceiveBatch handles a batch from an owner and returns a reply for each update.
func (s *State) ReceiveBatch(from chicoryhall.DaemonID, batch Batch, now time.Time) ([]Reply, []Action) {
	replies := make([]Reply, len(batch.Updates))
	for i := range batch.Updates {
		handle := remoteHandle{owner: from, ownerStartIncarnation: batch.StartIncarnation, handle: batch.Updates[i].Handle}
		replies[i] = s.applyUpdate(handle, &batch.Updates[i], now)
	}
	return replies, s.flush()
}

func (s *State) applyUpdate(handle remoteHandle, u *Update, now time.Time) Reply {
	r, known := s.replicaByHandle[handle]
	switch {
	case u.Drop:
		if known && r.takeover == nil && r.generation <= u.Generation {
			s.dropReplica(r.record.ID)
		}
		return ReplyAccepted
	case u.Record != nil:
		return s.receiveRecord(handle, u, now)
	case !known || r.generation != u.Generation || u.Position > len(r.record.Tokens):
		return ReplyIncomplete
	case r.takeover != nil:
		return ReplyReplaced
	}
	s.updateReplica(r, u, now)
	return ReplyAccepted
}

// receiveRecord creates or replaces a replica. It returns ReplyReplaced if a later owner is known or
// this daemon is taking over the request, and ReplyIncomplete if the replica that it has is of a
// later generation.
func (s *State) receiveRecord(handle remoteHandle, u *Update, now time.Time) Reply {
	id := u.Record.ID
	if s.isSuperseded(id, u.Term) {
		return ReplyReplaced
	}
	if r, ok := s.replicas[id]; ok {
		if r.term == u.Term && r.generation > u.Generation {
			return ReplyIncomplete // An earlier batch was delayed; its sender has already given it up.
		}
		s.dropReplica(id)
	}
	r := &replica{
		record: *u.Record, owner: handle.owner, ownerStartIncarnation: handle.ownerStartIncarnation, handle: handle.handle,
		term: u.Term, generation: u.Generation, since: now,
	}
	r.record.Tokens = slices.Clone(u.Record.Tokens)
	s.replicas[id] = r
	s.replicaByHandle[handle] = r
	s.updateReplica(r, u, now)
	return ReplyAccepted
}

// isSuperseded reports whether an owner of the given term has been replaced or is being replaced.
func (s *State) isSuperseded(id chicoryhall.RequestID, term int64) bool {
	if o, ok := s.owned[id]; ok && o.term > term {
		return true
	}
	if r, ok := s.replicas[id]; ok && (r.term > term || (r.term == term && r.takeover != nil)) {
		return true
	}
	e, ok := s.ownerChanges[id]
	return ok && e.term > term
}

// updateReplica applies an update to a replica.
func (s *State) updateReplica(r *replica, u *Update, now time.Time) {
	r.record.Attempt = max(r.record.Attempt, u.Attempt)
	if have := len(r.record.Tokens); u.Position <= have && u.Position+len(u.Tokens) > have {
		r.record.Tokens = append(r.record.Tokens, u.Tokens[have-u.Position:]...)
	}
	if u.Finished {
		r.record.Finished = true
		r.record.Outcome = u.Outcome
		s.finishedAnswers.put(r.record, now)
		s.dropReplica(r.record.ID)
		return
	}
	if u.HandOver {
		s.beginTakeover(r, now)
	}
}

func (s *State) dropReplica(id chicoryhall.RequestID) {
	r, ok := s.replicas[id]
	if !ok {
		return
	}
	delete(s.replicas, id)
	delete(s.replicaByHandle, remoteHandle{owner: r.owner, ownerStartIncarnation: r.ownerStartIncarnation, handle: r.handle})
}
