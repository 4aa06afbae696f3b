package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// Config configures a State.
type Config struct {
	// Self is this daemon's entry; its incarnation must exceed those of earlier runs.
	Self chicoryhall.Member
	// Seeds are peer addresses from which the other members are learnt.
	Seeds []string
	// RandomSeed makes the choice of peers reproducible.
	RandomSeed uint64
}

// State is the membership state machine of one daemon; it is not safe for concurrent use.
type State struct {
	self    chicoryhall.Member
	seeds   []string
	random  *rand.Rand
	members map[chicoryhall.DaemonID]*record
	gossip  *gossip
	// suspects holds the peers in state MemberSuspect.
	suspects map[chicoryhall.DaemonID]bool
	// digest is the XOR of the hashes of all entries that are not dead, this daemon's own included.
	digest uint64

	probes    map[ProbeNumber]*probe
	lastProbe ProbeNumber
	// domainPeers holds the peers of this daemon's failure domain.
	domainPeers rotation
	allPeers    rotation
	probeCount  int

	lastTick      time.Time
	nextProbe     time.Time
	nextDeadProbe time.Time
	nextSeedSync  time.Time
	lastSync      time.Time

	lastChange time.Time
	// unsettledSince is the time of the first change in the current series of changes. A series ends when nothing
	// changes for settleTime.
	unsettledSince time.Time

	fence FenceReason
	// lastProbeBeforeFence is the last probe sent before the daemon was fenced; only answers to later probes lift the fence.
	lastProbeBeforeFence ProbeNumber
	// ownDeadIncarnation is the newest incarnation of this daemon that a peer has reported dead.
	ownDeadIncarnation int64
	actions            []Action
}

// record holds what this daemon believes about one peer.
type record struct {
	member chicoryhall.Member
	// stateSince is the time at which the peer's current state and incarnation were stored. checkPause moves it forward
	// by the length of a pause.
	stateSince time.Time
	// deadIncarnation is the peer's newest incarnation that this daemon believed dead, or 0.
	deadIncarnation int64
}

// New returns a State that knows only its own daemon.
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
	s.ownDeadIncarnation = s.self.Incarnation - 1 // The death of an earlier run does not fence this one.
	s.digest = entryHash(s.self)
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
	rec, ok := s.members[id]
	if !ok {
		return chicoryhall.Member{}, false
	}
	return rec.member, true
}

// Others returns every known peer, ordered by ID.
func (s *State) Others() []chicoryhall.Member {
	all := make([]chicoryhall.Member, 0, len(s.members))
	for _, rec := range s.members {
		all = append(all, rec.member)
	}
	slices.SortFunc(all, func(a, b chicoryhall.Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Digest returns the combined hash of all entries that are not dead.
func (s *State) Digest() uint64 { return s.digest }

// Receive handles a probe from a peer and returns the answer.
func (s *State) Receive(from chicoryhall.DaemonID, packet Packet, now time.Time) (Packet, []Action) {
	s.handlePacket(from, packet, now)
	return s.packetFor(from), s.takeActions()
}

// HandleSync handles a full sync that a peer started: it merges the peer's entries and returns all entries of this
// daemon.
func (s *State) HandleSync(members []chicoryhall.Member, now time.Time) ([]chicoryhall.Member, []Action) {
	s.mergeAll(members, now)
	return s.allEntries(), s.takeActions()
}

// HandleSyncAnswer handles the entries that a peer returned in a full sync that this daemon started with SendSync.
func (s *State) HandleSyncAnswer(members []chicoryhall.Member, now time.Time) []Action {
	var added []chicoryhall.DaemonID
	for _, member := range members {
		if _, ok := s.members[member.ID]; !ok {
			added = append(added, member.ID)
		}
	}
	s.mergeAll(members, now)
	if len(added) > maxGossipedPerSync {
		for _, id := range added {
			// So many new entries must be known to the other daemons already. A daemon that lacks one has another
			// digest, which leads to a full sync.
			s.gossip.drop(id)
		}
	}
	return s.takeActions()
}

// AnnounceLeaving sets this daemon's state to MemberLeaving, which is gossiped.
func (s *State) AnnounceLeaving() []Action {
	s.setSelf(s.self.Incarnation, chicoryhall.MemberLeaving)
	return s.takeActions()
}

// AnnounceExit sets this daemon's state to MemberDead, and returns the last packet and the peers to send it to.
func (s *State) AnnounceExit() (Packet, []chicoryhall.DaemonID) {
	s.setSelf(s.self.Incarnation, chicoryhall.MemberDead)
	s.takeActions()
	var peers []chicoryhall.DaemonID
	for range goodbyePeers {
		id, ok := s.domainPeers.pick(s.random, s.isPresent)
		if !ok {
			id, ok = s.allPeers.pick(s.random, s.isPresent)
		}
		if ok && !slices.Contains(peers, id) {
			peers = append(peers, id)
		}
	}
	return Packet{Incarnation: s.self.Incarnation, Updates: []chicoryhall.Member{s.self}}, peers
}

// handlePacket merges a packet and starts a full sync if the digests differ and one is due.
func (s *State) handlePacket(from chicoryhall.DaemonID, packet Packet, now time.Time) {
	s.handleOwnDeath(packet.DeadIncarnation)
	s.mergeAll(packet.Updates, now)
	if packet.ReceiverUnknown {
		s.gossip.put(s.self)
	}
	rec, ok := s.members[from]
	if !ok || packet.Digest == s.digest || now.Before(s.nextSyncTime(now)) {
		return
	}
	s.lastSync = now
	s.emit(SendSync{Address: rec.member.PeerAddress, Members: s.allEntries()})
}

// nextSyncTime returns the earliest time at which differing digests start a full sync. It is later while entries keep
// changing, because gossip may still deliver the changes by which the digests differ.
func (s *State) nextSyncTime(now time.Time) time.Time {
	if now.Sub(s.lastChange) < settleTime {
		return later(s.lastSync, s.unsettledSince).Add(unsettledSyncPeriod)
	}
	return s.lastSync.Add(syncPeriod)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// packetFor returns the packet that a probe or an answer to a peer carries.
func (s *State) packetFor(to chicoryhall.DaemonID) Packet {
	packet := Packet{Incarnation: s.self.Incarnation, Digest: s.digest}
	rec, ok := s.members[to]
	packet.ReceiverUnknown = !ok
	if ok {
		packet.DeadIncarnation = rec.deadIncarnation
	}
	if ok && rec.member.State != chicoryhall.MemberAlive {
		packet.Updates = append(packet.Updates, compact(rec.member)) // Lets the peer refute it.
	}
	packet.Updates = append(packet.Updates, s.gossip.next(to, len(s.members))...)
	return packet
}

func (s *State) allEntries() []chicoryhall.Member {
	return append(s.Others(), s.self)
}
