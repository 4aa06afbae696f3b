package holder

import (
	"chicoryhall.example/chicoryhall"
)

// maxDaemonsAsked limits how many daemons are asked for one request.
const maxDaemonsAsked = 6

// Locate returns what this daemon knows about where a request runs, and its owner for
// LocationMoved. It is called when chicoryhall.Requests has not found the request here. A request
// that this daemon owns all the same is LocationPending while it is being resumed, and otherwise
// LocationUnknown.
func (s *State) Locate(id chicoryhall.RequestID) (Location, chicoryhall.DaemonID) {
	if s.finishedAnswers.has(id) {
		return LocationHere, s.self.ID
	}
	if o, ok := s.owned[id]; ok && o.resuming {
		return LocationPending, ""
	}
	if _, ok := s.replicas[id]; ok {
		return LocationPending, ""
	}
	if e, ok := s.ownerChanges[id]; ok && e.owner != s.self.ID {
		return LocationMoved, e.owner
	}
	return LocationUnknown, ""
}

// FinishedRequest returns a finished request whose answer this daemon keeps because it was the
// backup.
func (s *State) FinishedRequest(id chicoryhall.RequestID) (chicoryhall.RequestRecord, bool) {
	kept, ok := s.finishedAnswers.byID[id]
	if !ok {
		return chicoryhall.RequestRecord{}, false
	}
	return kept.record, true
}

// daemonsToAsk returns the daemons that may know a request, best first: the owner that the ID
// names, then the daemons in the order in which they are preferred as its backup.
func daemonsToAsk(id chicoryhall.RequestID, self chicoryhall.DaemonID, members []chicoryhall.Member) []chicoryhall.DaemonID {
	owner := InitialOwner(id)
	var domain chicoryhall.FailureDomain
	for _, member := range members {
		if member.ID == owner {
			domain = member.FailureDomain
		}
	}
	var daemons, others []chicoryhall.DaemonID
	for _, member := range members {
		switch {
		case member.State == chicoryhall.MemberDead || member.ID == self:
		case member.ID == owner:
			daemons = append(daemons, member.ID)
		case member.FailureDomain == domain:
			others = append(others, member.ID)
		}
	}
	return append(daemons, backupCandidates(id, owner, others)...)
}
