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

// merge stores one entry if it is newer than the known one. An entry without an address was shortened by compact, and
// takes the other fields from the known entry; it is ignored if the daemon is unknown.
func (s *State) merge(member chicoryhall.Member, now time.Time) {
	rec, ok := s.members[member.ID]
	if !ok {
		if member.PeerAddress != "" {
			s.add(member, now)
		}
		return
	}
	if !supersedes(member, rec.member) {
		return
	}
	if member.PeerAddress == "" {
		member = withState(rec.member, member.Incarnation, member.State)
	}
	s.digest ^= entryHash(rec.member) ^ entryHash(member)
	if member.State != rec.member.State || member.Incarnation != rec.member.Incarnation {
		rec.stateSince = now
	}
	rec.member = member
	s.recordChange(member, now)
}

// recordChange updates what depends on a changed entry and gossips the entry.
func (s *State) recordChange(member chicoryhall.Member, now time.Time) {
	delete(s.suspects, member.ID)
	if member.State == chicoryhall.MemberDead {
		s.members[member.ID].deadIncarnation = member.Incarnation
	}
	if member.State == chicoryhall.MemberSuspect {
		s.suspects[member.ID] = true
	}
	if now.Sub(s.lastChange) >= settleTime {
		s.unsettledSince = now
	}
	s.lastChange = now
	s.gossip.put(member)
	s.emit(MemberChanged{Member: member})
	if member.State == chicoryhall.MemberSuspect {
		s.maybeProbeSuspect(member, now)
	}
}

func (s *State) add(member chicoryhall.Member, now time.Time) {
	s.members[member.ID] = &record{member: member, stateSince: now}
	s.digest ^= entryHash(member)
	s.allPeers.insert(member.ID, s.random)
	if member.FailureDomain == s.self.FailureDomain {
		s.domainPeers.insert(member.ID, s.random)
	}
	s.recordChange(member, now)
}

// mergeSelf refutes a peer's entry that wrongly declares this daemon suspect or dead.
func (s *State) mergeSelf(member chicoryhall.Member) {
	if s.self.State == chicoryhall.MemberDead || !supersedes(member, s.self) {
		return
	}
	if member.State == chicoryhall.MemberDead {
		s.handleOwnDeath(member.Incarnation)
	}
	s.setSelf(member.Incarnation+1, s.self.State)
}

// handleOwnDeath handles a report that a peer believed an incarnation of this daemon dead, and fences this daemon. It
// does so once for each incarnation, because peers report an incarnation again and again, even after they have learnt
// of a newer one. Earlier runs of the daemon do not count.
func (s *State) handleOwnDeath(incarnation int64) {
	if incarnation <= s.ownDeadIncarnation {
		return
	}
	s.ownDeadIncarnation = incarnation
	s.setFence(FenceDeclaredDead)
}

func (s *State) setSelf(incarnation int64, state chicoryhall.MemberState) {
	s.digest ^= entryHash(s.self)
	s.self.Incarnation = incarnation
	s.self.State = state
	s.digest ^= entryHash(s.self)
	s.gossip.put(s.self)
	s.emit(MemberChanged{Member: s.self})
}

func (s *State) emit(action Action) { s.actions = append(s.actions, action) }

func (s *State) takeActions() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

// compact shortens suspect and dead entries to the ID, incarnation and state. Receivers that know the daemon already
// have the other fields; others need no entry of a daemon that is dead or suspect.
func compact(member chicoryhall.Member) chicoryhall.Member {
	if member.State != chicoryhall.MemberSuspect && member.State != chicoryhall.MemberDead {
		return member
	}
	return chicoryhall.Member{ID: member.ID, Incarnation: member.Incarnation, State: member.State}
}

// withState returns a copy of a known entry with another incarnation and state.
func withState(member chicoryhall.Member, incarnation int64, state chicoryhall.MemberState) chicoryhall.Member {
	member.Incarnation = incarnation
	member.State = state
	return member
}

// supersedes reports whether entry a is newer than entry b of the same daemon. Of two states of the same incarnation,
// the one later in the order of the MemberState constants is newer.
func supersedes(a, b chicoryhall.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// entryHash returns the hash of an entry for the digest. A dead daemon hashes to 0, so that forgetting it does not
// change the digest. An alive and a suspect daemon have the same hash, so a suspicion does not change it either.
func entryHash(member chicoryhall.Member) uint64 {
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
