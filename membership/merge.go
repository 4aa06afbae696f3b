package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall"
)

func (s *State) mergeAll(members []chicoryhall.Member, now time.Time) {
	for _, member := range members {
		if member.ID == s.self.ID {
			s.mergeSelf(member)
			continue
		}
		s.merge(member, now)
	}
}

// merge takes one entry if it is newer than what is known.
func (s *State) merge(member chicoryhall.Member, now time.Time) {
	known, ok := s.members[member.ID]
	if !ok {
		if member.PeerAddress != "" {
			s.add(member, now)
		}
		return
	}
	if !supersedes(member, known.member) {
		return
	}
	if member.PeerAddress == "" {
		member = restated(known.member, member.Incarnation, member.State)
	}
	s.digest ^= hashOf(known.member) ^ hashOf(member)
	if member.State != known.member.State || member.Incarnation != known.member.Incarnation {
		known.since = now
	}
	known.member = member
	s.tell(member, now)
}

// tell notes and spreads a changed entry.
func (s *State) tell(member chicoryhall.Member, now time.Time) {
	delete(s.suspects, member.ID)
	if member.State == chicoryhall.MemberDead {
		s.members[member.ID].died = member.Incarnation
	}
	if member.State == chicoryhall.MemberSuspect {
		s.suspects[member.ID] = true
	}
	if now.Sub(s.lastChange) >= settleTime {
		s.unsettledSince = now
	}
	s.lastChange = now
	s.gossip.put(member)
	s.do(Changed{Member: member})
	if member.State == chicoryhall.MemberSuspect {
		s.checkSuspicion(member, now)
	}
}

func (s *State) add(member chicoryhall.Member, now time.Time) {
	s.members[member.ID] = &record{member: member, since: now}
	s.digest ^= hashOf(member)
	s.all.insert(member.ID, s.random)
	if member.FailureDomain == s.self.FailureDomain {
		s.near.insert(member.ID, s.random)
	}
	s.tell(member, now)
}

// mergeSelf refutes what peers wrongly believe of this daemon.
func (s *State) mergeSelf(member chicoryhall.Member) {
	if s.self.State == chicoryhall.MemberDead || !supersedes(member, s.self) {
		return
	}
	if member.State == chicoryhall.MemberDead {
		s.hearDeath(member.Incarnation)
	}
	s.setSelf(member.Incarnation+1, s.self.State)
}

// hearDeath fences this daemon once for each incarnation of this run that a peer believed dead.
// A peer tells of it also after it has heard of a newer incarnation.
func (s *State) hearDeath(incarnation int64) {
	if incarnation <= s.heardDeath {
		return
	}
	s.heardDeath = incarnation
	s.setFence(FenceDeclaredDead)
}

func (s *State) setSelf(incarnation int64, state chicoryhall.MemberState) {
	s.digest ^= hashOf(s.self)
	s.self.Incarnation = incarnation
	s.self.State = state
	s.digest ^= hashOf(s.self)
	s.gossip.put(s.self)
	s.do(Changed{Member: s.self})
}

func (s *State) do(action Action) { s.actions = append(s.actions, action) }

func (s *State) flush() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

// brief leaves out what a receiver that knows the daemon does not need.
func brief(member chicoryhall.Member) chicoryhall.Member {
	if member.State != chicoryhall.MemberSuspect && member.State != chicoryhall.MemberDead {
		return member
	}
	return chicoryhall.Member{ID: member.ID, Incarnation: member.Incarnation, State: member.State}
}

// restated returns a known entry with another incarnation and state.
func restated(member chicoryhall.Member, incarnation int64, state chicoryhall.MemberState) chicoryhall.Member {
	member.Incarnation = incarnation
	member.State = state
	return member
}

// supersedes tells whether entry a is newer than entry b of the same daemon.
func supersedes(a, b chicoryhall.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// hashOf returns 0 for a dead daemon, so that forgetting it changes no digest.
func hashOf(member chicoryhall.Member) uint64 {
	if member.State == chicoryhall.MemberDead {
		return 0
	}
	var numbers [9]byte
	binary.LittleEndian.PutUint64(numbers[:], uint64(member.Incarnation))
	if member.State == chicoryhall.MemberLeaving {
		numbers[8] = 1
	}
	return xxhash.Sum64String(string(member.ID) + string(numbers[:]))
}
