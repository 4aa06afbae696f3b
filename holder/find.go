package holder

import (
	"chicoryhall.example/chicoryhall"
)

// maxFindTries bounds the daemons that are asked for one request.
const maxFindTries = 6

// Find tells what this daemon knows of a request that it does not run.
func (s *State) Find(id chicoryhall.RequestID) (Finding, chicoryhall.DaemonID) {
	if s.finished.has(id) {
		return FindingHere, s.self.ID
	}
	if h, ok := s.held[id]; ok && h.resuming {
		return FindingPending, ""
	}
	if _, ok := s.replicas[id]; ok {
		return FindingPending, ""
	}
	if e, ok := s.moved[id]; ok && e.home != s.self.ID {
		return FindingMoved, e.home
	}
	return FindingNone, ""
}

// Finished returns a finished answer that this daemon kept as second holder.
func (s *State) Finished(id chicoryhall.RequestID) (chicoryhall.RequestRecord, bool) {
	kept, ok := s.finished.byID[id]
	if !ok {
		return chicoryhall.RequestRecord{}, false
	}
	return kept.record, true
}

// placesToAsk returns the daemons that may know of a request, best first: the default route is the
// home that the id names, then the daemons that are its second holders.
func placesToAsk(id chicoryhall.RequestID, self chicoryhall.DaemonID, members []chicoryhall.Member) []chicoryhall.DaemonID {
	home := HomeOf(id)
	var domain chicoryhall.FailureDomain
	for _, member := range members {
		if member.ID == home {
			domain = member.FailureDomain
		}
	}
	var places, others []chicoryhall.DaemonID
	for _, member := range members {
		switch {
		case member.State == chicoryhall.MemberDead || member.ID == self:
		case member.ID == home:
			places = append(places, member.ID)
		case member.FailureDomain == domain:
			others = append(others, member.ID)
		}
	}
	return append(places, candidates(id, home, others)...)
}
