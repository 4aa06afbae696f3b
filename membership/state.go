package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// Config is what a State needs.
type Config struct {
	// Self is this daemon's entry; its incarnation must exceed that of earlier runs.
	Self chicoryhall.Member
	// Seeds are peer addresses asked for the other members.
	Seeds []string
	// RandomSeed makes the choice of peers repeatable.
	RandomSeed uint64
}

// State is one daemon's membership; it is for one goroutine.
type State struct {
	self    chicoryhall.Member
	seeds   []string
	random  *rand.Rand
	members map[chicoryhall.DaemonID]*record
	gossip  *gossip
	// suspects are the peers in MemberSuspect.
	suspects map[chicoryhall.DaemonID]bool
	// digest is the XOR of the hashes of all present entries, this daemon's own included.
	digest uint64

	probes    map[ProbeNumber]*probe
	lastProbe ProbeNumber
	near      rotation
	all       rotation
	turn      int

	lastTick  time.Time
	nextProbe time.Time
	nextDead  time.Time
	nextSeed  time.Time
	lastSync  time.Time

	lastChange     time.Time
	unsettledSince time.Time

	fence FenceReason
	// fencedAt is the last probe sent before the fence; only answers to later ones lift it.
	fencedAt ProbeNumber
	// heardDeath is the newest incarnation of this daemon that it knows was believed dead.
	heardDeath int64
	actions    []Action
}

// record is what is believed of one peer.
type record struct {
	member chicoryhall.Member
	// since is when the state last changed here.
	since time.Time
	// died is the newest incarnation that this daemon believed dead, or 0.
	died int64
}

// New returns a State that knows only itself.
func New(config Config, now time.Time) *State {
	s := &State{
		self:     config.Self,
		seeds:    otherSeeds(config),
		random:   rand.New(rand.NewPCG(config.RandomSeed, uint64(config.Self.Incarnation))),
		members:  map[chicoryhall.DaemonID]*record{},
		gossip:   newGossip(),
		suspects: map[chicoryhall.DaemonID]bool{},
		probes:   map[ProbeNumber]*probe{},
		lastTick: now,
		lastSync: now,
	}
	s.self.State = chicoryhall.MemberAlive
	s.self.StartIncarnation = s.self.Incarnation
	s.heardDeath = s.self.Incarnation - 1 // Deaths of earlier runs fence nobody.
	s.digest = hashOf(s.self)
	s.gossip.put(s.self)
	return s
}

// otherSeeds returns the seeds that are not this daemon itself.
func otherSeeds(config Config) []string {
	return slices.DeleteFunc(slices.Clone(config.Seeds), func(address string) bool {
		return address == config.Self.PeerAddress
	})
}

// Self returns this daemon's own entry.
func (s *State) Self() chicoryhall.Member { return s.self }

// Member returns the entry of one peer.
func (s *State) Member(id chicoryhall.DaemonID) (chicoryhall.Member, bool) {
	known, ok := s.members[id]
	if !ok {
		return chicoryhall.Member{}, false
	}
	return known.member, true
}

// All returns every known peer, ordered by ID.
func (s *State) All() []chicoryhall.Member {
	all := make([]chicoryhall.Member, 0, len(s.members))
	for _, known := range s.members {
		all = append(all, known.member)
	}
	slices.SortFunc(all, func(a, b chicoryhall.Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Digest returns a hash over the entries believed alive or leaving.
func (s *State) Digest() uint64 { return s.digest }

// Receive takes a probe from a peer and returns the answer.
func (s *State) Receive(from chicoryhall.DaemonID, packet Packet, now time.Time) (Packet, []Action) {
	s.take(from, packet, now)
	return s.packetFor(from), s.flush()
}

// Exchange takes a peer's entries and returns all entries of this daemon.
func (s *State) Exchange(members []chicoryhall.Member, now time.Time) ([]chicoryhall.Member, []Action) {
	s.mergeAll(members, now)
	return s.everything(), s.flush()
}

// Synced takes the entries that answer a SendSync.
func (s *State) Synced(members []chicoryhall.Member, now time.Time) []Action {
	var added []chicoryhall.DaemonID
	for _, member := range members {
		if _, ok := s.members[member.ID]; !ok {
			added = append(added, member.ID)
		}
	}
	s.mergeAll(members, now)
	if len(added) > maxSpread {
		for _, id := range added {
			s.gossip.drop(id) // Others know it; differing digests show where they do not.
		}
	}
	return s.flush()
}

// Leave announces that this daemon shuts down gracefully.
func (s *State) Leave() []Action {
	s.setSelf(s.self.Incarnation, chicoryhall.MemberLeaving)
	return s.flush()
}

// Goodbye announces that this daemon is gone; it returns the last packet and the peers to tell.
func (s *State) Goodbye() (Packet, []chicoryhall.DaemonID) {
	s.setSelf(s.self.Incarnation, chicoryhall.MemberDead)
	s.flush()
	var peers []chicoryhall.DaemonID
	for range goodbyePeers {
		id, ok := s.near.pick(s.random, s.isPresent)
		if !ok {
			id, ok = s.all.pick(s.random, s.isPresent)
		}
		if ok && !slices.Contains(peers, id) {
			peers = append(peers, id)
		}
	}
	return Packet{Incarnation: s.self.Incarnation, Updates: []chicoryhall.Member{s.self}}, peers
}

// take merges a packet and compares digests.
func (s *State) take(from chicoryhall.DaemonID, packet Packet, now time.Time) {
	s.hearDeath(packet.Died)
	s.mergeAll(packet.Updates, now)
	if packet.Unknown {
		s.gossip.put(s.self)
	}
	known, ok := s.members[from]
	if !ok || packet.Digest == s.digest || now.Before(s.nextSync(now)) {
		return
	}
	s.lastSync = now
	s.do(SendSync{Address: known.member.PeerAddress, Members: s.everything()})
}

// nextSync returns when differing digests make this daemon exchange all entries.
func (s *State) nextSync(now time.Time) time.Time {
	if now.Sub(s.lastChange) < settleTime {
		return later(s.lastSync, s.unsettledSince).Add(unsettledSyncPeriod) // Gossip may still bring what differs.
	}
	return s.lastSync.Add(syncPeriod)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// packetFor returns what a probe or an answer to a peer carries.
func (s *State) packetFor(to chicoryhall.DaemonID) Packet {
	packet := Packet{Incarnation: s.self.Incarnation, Digest: s.digest}
	known, ok := s.members[to]
	packet.Unknown = !ok
	if ok {
		packet.Died = known.died
	}
	if ok && known.member.State != chicoryhall.MemberAlive {
		packet.Updates = append(packet.Updates, brief(known.member)) // It may refute.
	}
	packet.Updates = append(packet.Updates, s.gossip.take(to, len(s.members))...)
	return packet
}

func (s *State) everything() []chicoryhall.Member {
	return append(s.All(), s.self)
}
