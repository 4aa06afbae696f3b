package holder

import (
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// replica is a request of which this daemon is the second holder.
type replica struct {
	record     chicoryhall.RequestRecord
	home       chicoryhall.DaemonID
	run        int64
	handle     Handle
	term       int64
	generation int64
	// since is when the replica began here.
	since time.Time
	// claim is set once this daemon has begun to take over.
	claim *claiming
}

// remoteHandle names a replica as its home does.
type remoteHandle struct {
	home   chicoryhall.DaemonID
	run    int64
	handle Handle
}

// ReceiveBatch takes a batch from a home and returns a verdict for each update.
func (s *State) ReceiveBatch(from chicoryhall.DaemonID, batch Batch, now time.Time) ([]Reply, []Action) {
	verdicts := make([]Reply, len(batch.Updates))
	for i := range batch.Updates {
		name := remoteHandle{home: from, run: batch.StartIncarnation, handle: batch.Updates[i].Handle}
		verdicts[i] = s.receive(name, &batch.Updates[i], now)
	}
	return verdicts, s.flush()
}

func (s *State) receive(name remoteHandle, u *Update, now time.Time) Reply {
	r, known := s.handles[name]
	switch {
	case u.Drop:
		if known && r.claim == nil && r.generation <= u.Generation {
			s.forget(r.record.ID)
		}
		return ReplyAccepted
	case u.Record != nil:
		return s.receiveWhole(name, u, now)
	case !known || r.generation != u.Generation || u.Position > len(r.record.Tokens):
		return ReplyIncomplete
	case r.claim != nil:
		return ReplyReplaced
	}
	s.apply(r, u, now)
	return ReplyAccepted
}

// receiveWhole begins or renews a replica unless a later home or second holder is known.
func (s *State) receiveWhole(name remoteHandle, u *Update, now time.Time) Reply {
	id := u.Record.ID
	if s.isSuperseded(id, u.Term) {
		return ReplyReplaced
	}
	if r, ok := s.replicas[id]; ok {
		if r.term == u.Term && r.generation > u.Generation {
			return ReplyIncomplete // A late copy of an earlier batch; nobody waits for the verdict.
		}
		s.forget(id)
	}
	r := &replica{
		record: *u.Record, home: name.home, run: name.run, handle: name.handle,
		term: u.Term, generation: u.Generation, since: now,
	}
	r.record.Tokens = slices.Clone(u.Record.Tokens)
	s.replicas[id] = r
	s.handles[name] = r
	s.apply(r, u, now)
	return ReplyAccepted
}

// isSuperseded tells whether a home of the given term has been replaced.
func (s *State) isSuperseded(id chicoryhall.RequestID, term int64) bool {
	if h, ok := s.held[id]; ok && h.term > term {
		return true
	}
	if r, ok := s.replicas[id]; ok && (r.term > term || (r.term == term && r.claim != nil)) {
		return true
	}
	e, ok := s.moved[id]
	return ok && e.term > term
}

// apply brings a replica up to date.
func (s *State) apply(r *replica, u *Update, now time.Time) {
	r.record.Attempt = max(r.record.Attempt, u.Attempt)
	if have := len(r.record.Tokens); u.Position <= have && u.Position+len(u.Tokens) > have {
		r.record.Tokens = append(r.record.Tokens, u.Tokens[have-u.Position:]...)
	}
	if u.Finished {
		r.record.Finished = true
		r.record.Outcome = u.Outcome
		s.finished.put(r.record, now)
		s.forget(r.record.ID)
		return
	}
	if u.HandOver {
		s.beginClaim(r, now)
	}
}

// forget drops a replica.
func (s *State) forget(id chicoryhall.RequestID) {
	r, ok := s.replicas[id]
	if !ok {
		return
	}
	delete(s.replicas, id)
	delete(s.handles, remoteHandle{home: r.home, run: r.run, handle: r.handle})
}
