package holder

import (
	"chicoryhall.example/chicoryhall"
)

// maxFindTries bounds the daemons that are asked for one request.
const maxFindTries = 6

// Locate tells what this daemon knows of a request that it does not run.
func (s *State) Locate(id chicoryhall.RequestID) (Location, chicoryhall.DaemonID) {
	if s.finished.has(id) {
		return LocationHere, s.self.ID
	}
	if h, ok := s.held[id]; ok && h.resuming {
		return LocationPending, ""
	}
	if _, ok := s.replicas[id]; ok {
		return LocationPending, ""
	}
	if e, ok := s.moved[id]; ok && e.home != s.self.ID {
		return LocationMoved, e.home
	}
	return LocationUnknown, ""
}

// FinishedRequest returns a finished answer that this daemon kept as second holder.
func (s *State) FinishedRequest(id chicoryhall.RequestID) (chicoryhall.RequestRecord, bool) {
	kept, ok := s.finished.byID[id]
	if !ok {
		return chicoryhall.RequestRecord{}, false
	}
	return kept.record, true
}

// placesToAsk returns the daemons that may know of a request, best first: the default route is the
// home that the id names, then the daemons that are its second holders.
func placesToAsk(id chicoryhall.RequestID, self chicoryhall.DaemonID, members []chicoryhall.Member) []chicoryhall.DaemonID {
	home := InitialOwner(id)
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
