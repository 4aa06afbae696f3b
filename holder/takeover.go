package holder

import (
	"maps"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// claiming is a takeover that waits for the other daemons of the failure domain.
type claiming struct {
	claim Claim
	// open are the daemons that have not agreed yet.
	open map[chicoryhall.DaemonID]bool
}

// exception tells who became the home of a request after the daemon that its id names.
type exception struct {
	home       chicoryhall.DaemonID
	term       int64
	generation int64
	until      time.Time
}

// precedes tells whether a claim comes from a later home or second holder than the one agreed to;
// the earlier claimer needs the later one's agreement and does not get it.
func (c Claim) precedes(e exception) bool {
	return c.Term > e.term || (c.Term == e.term && c.Generation > e.generation)
}

// takeOver claims the requests of a home whose process has ended.
func (s *State) takeOver(home chicoryhall.Member, now time.Time) {
	for _, r := range s.orderedReplicas() {
		ended := home.State == chicoryhall.MemberDead || r.run < home.StartIncarnation
		if r.home == home.ID && ended && r.claim == nil {
			s.beginClaim(r, now)
		}
	}
}

// claimOrphans claims requests that came late from a home whose process had ended.
func (s *State) claimOrphans(now time.Time) {
	for _, r := range s.orderedReplicas() {
		home, ok := s.peers[r.home]
		ended := !ok || home.StartIncarnation > r.run
		if ended && r.claim == nil && now.Sub(r.since) > orphanTime {
			s.beginClaim(r, now)
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

// beginClaim asks every other daemon of the failure domain; from here on the old home is refused.
func (s *State) beginClaim(r *replica, now time.Time) {
	keep := max(0, r.record.Deadline.Sub(now)) + keepTime
	r.claim = &claiming{
		claim: Claim{ID: r.record.ID, Term: r.term + 1, Generation: r.generation, KeepMillis: keep.Milliseconds()},
		open:  map[chicoryhall.DaemonID]bool{},
	}
	for id := range s.peers {
		if id != r.home {
			r.claim.open[id] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.claim.open)) {
		s.do(SendClaims{To: id, Claims: []Claim{r.claim.claim}})
	}
	s.finishClaim(r, now)
}

// retryClaims asks the daemons again that have not answered.
func (s *State) retryClaims(now time.Time) {
	if now.Before(s.nextClaims) {
		return
	}
	s.nextClaims = now.Add(retryDelay)
	waiting := map[chicoryhall.DaemonID][]Claim{}
	for _, r := range s.orderedReplicas() {
		if r.claim == nil {
			continue
		}
		for id := range r.claim.open {
			waiting[id] = append(waiting[id], r.claim.claim)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(waiting)) {
		s.do(SendClaims{To: id, Claims: waiting[id]})
	}
}

// ReceiveClaims takes claims of another daemon and returns a verdict for each.
func (s *State) ReceiveClaims(from chicoryhall.DaemonID, claims []Claim, now time.Time) ([]Verdict, []Action) {
	verdicts := make([]Verdict, len(claims))
	for i, claim := range claims {
		verdicts[i] = s.receiveClaim(from, claim, now)
	}
	return verdicts, s.flush()
}

// receiveClaim agrees unless this daemon knows a later home or second holder.
func (s *State) receiveClaim(from chicoryhall.DaemonID, claim Claim, now time.Time) Verdict {
	if h, ok := s.held[claim.ID]; ok && h.term >= claim.Term {
		return VerdictReplaced
	}
	if r, ok := s.replicas[claim.ID]; ok && (r.term >= claim.Term || (r.term == claim.Term-1 && r.generation > claim.Generation)) {
		return VerdictReplaced
	}
	if s.finished.has(claim.ID) {
		return VerdictReplaced
	}
	if e, ok := s.moved[claim.ID]; ok && e.home != from && !claim.precedes(e) {
		return VerdictReplaced
	}
	s.moved[claim.ID] = exception{
		home: from, term: claim.Term, generation: claim.Generation, until: now.Add(time.Duration(claim.KeepMillis) * time.Millisecond),
	}
	s.forget(claim.ID)
	if h, ok := s.held[claim.ID]; ok {
		s.replaced(h)
	}
	return VerdictTaken
}

// ClaimsAnswered takes another daemon's verdicts on claims.
func (s *State) ClaimsAnswered(from chicoryhall.DaemonID, claims []Claim, verdicts []Verdict, now time.Time) []Action {
	if len(claims) != len(verdicts) {
		return nil
	}
	for i, claim := range claims {
		r, ok := s.replicas[claim.ID]
		if !ok || r.claim == nil || r.claim.claim != claim {
			continue
		}
		if verdicts[i] == VerdictReplaced {
			s.forget(claim.ID)
			continue
		}
		delete(r.claim.open, from)
		s.finishClaim(r, now)
	}
	s.pump(now)
	return s.flush()
}

// agreed stops waiting for a daemon that has ended.
func (s *State) agreed(id chicoryhall.DaemonID, now time.Time) {
	for _, r := range s.orderedReplicas() {
		if r.claim != nil && r.claim.open[id] {
			delete(r.claim.open, id)
			s.finishClaim(r, now)
		}
	}
}

// finishClaim makes this daemon the home once nobody is left to ask.
func (s *State) finishClaim(r *replica, now time.Time) {
	if len(r.claim.open) > 0 {
		return
	}
	s.forget(r.record.ID)
	s.moved[r.record.ID] = exception{
		home: s.self.ID, term: r.claim.claim.Term, generation: r.generation,
		until: now.Add(time.Duration(r.claim.claim.KeepMillis) * time.Millisecond),
	}
	record := r.record
	record.Attempt = (record.Attempt/attemptStride + 1) * attemptStride
	h := s.hold(record, r.claim.claim.Term)
	h.generation = r.generation
	h.resuming = true
	s.place(h, now)
}
