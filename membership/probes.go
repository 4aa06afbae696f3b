package membership

import (
	"maps"
	"math"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// TickPeriod is how often a State wants its Tick.
	TickPeriod = 50 * time.Millisecond
	// probePeriod is the time between two probes of this daemon.
	probePeriod = 250 * time.Millisecond
	// farProbeShare is the share, one in so many, of probes that go to any failure domain.
	farProbeShare = 4
	// directTimeout is when others are asked to probe as well.
	directTimeout = 250 * time.Millisecond
	// probeTimeout is when a probed daemon without an answer is suspected.
	probeTimeout = 650 * time.Millisecond
	// goodbyePeers bounds the peers that are told of a graceful end.
	goodbyePeers = 8
	// indirectProbes is the number of peers asked to probe as well.
	indirectProbes = 3
	// suspicionTimeout is the least time that a suspected daemon has to refute.
	suspicionTimeout = 800 * time.Millisecond
	// pauseLimit is the time without a tick after which a daemon counts as paused.
	// It is shorter than probeTimeout, the least time in which a daemon is declared dead.
	pauseLimit = 400 * time.Millisecond
	// suspicionProbes is how many of the daemons that hear of a suspicion probe the suspect at once.
	suspicionProbes = 8
	// deadProbePeriod is the time between two probes of a daemon believed dead.
	deadProbePeriod = 2 * time.Second
	// deadRetention is how long a dead daemon is remembered.
	deadRetention = 24 * time.Hour
	// lonelySeedPeriod and seedPeriod are the times between two visits to a seed.
	lonelySeedPeriod = time.Second
	seedPeriod       = time.Minute
	// syncPeriod is the least time between two full exchanges begun here.
	syncPeriod = 10 * time.Second
	// unsettledSyncPeriod is the same while entries keep changing.
	unsettledSyncPeriod = 20 * time.Second
	// settleTime is how long digests may differ after a change before entries are exchanged.
	settleTime = 2 * time.Second
)

// probe is one probe without an answer yet.
type probe struct {
	target   chicoryhall.DaemonID
	sentAt   time.Time
	indirect bool
	// failed tells that no answer can come, as from a process that is just ending.
	failed bool
	// incarnation is what is probed; an answer of a newer one ends the probe all the same.
	incarnation int64
}

// Tick lets time pass.
func (s *State) Tick(now time.Time) []Action {
	s.checkPause(now)
	s.lastTick = now
	s.checkProbes(now)
	s.checkSuspects(now)
	if !now.Before(s.nextProbe) {
		s.nextProbe = now.Add(probePeriod)
		s.probeNext(now)
	}
	if !now.Before(s.nextDead) {
		s.nextDead = now.Add(deadProbePeriod)
		s.forgetDead(now)
		s.probeDead(now)
	}
	if !now.Before(s.nextSeed) {
		s.visitSeed(now)
	}
	if s.fence != FenceNone && !s.hasPeer() {
		s.setFence(FenceNone) // Nobody is left who could know more.
	}
	return s.flush()
}

// Acked takes the answer to a probe, direct or not.
func (s *State) Acked(number ProbeNumber, packet Packet, now time.Time) []Action {
	p, ok := s.probes[number]
	if !ok {
		s.mergeAll(packet.Updates, now)
		return s.flush()
	}
	delete(s.probes, number)
	s.take(p.target, packet, now)
	if number > s.fencedAt {
		s.setFence(FenceNone)
	}
	return s.flush()
}

// Vouched takes word from another peer that the probed daemon answered it.
func (s *State) Vouched(number ProbeNumber) {
	delete(s.probes, number)
}

// Failed takes word that a probe cannot be answered; refused means that nothing listens there.
func (s *State) Failed(number ProbeNumber, refused bool, now time.Time) []Action {
	p, ok := s.probes[number]
	if !ok {
		return nil
	}
	if !refused {
		p.failed = true // The next tick tries again; other peers may still reach it.
		return nil
	}
	delete(s.probes, number)
	s.judge(p, chicoryhall.MemberDead, now)
	return s.flush()
}

// Disconnected takes word that a peer closed its connection; the peer is probed at once.
func (s *State) Disconnected(id chicoryhall.DaemonID, now time.Time) []Action {
	if known, ok := s.members[id]; ok && known.member.State != chicoryhall.MemberDead && !s.isProbed(id) {
		s.send(known.member, now)
	}
	return s.flush()
}

func (s *State) isProbed(id chicoryhall.DaemonID) bool {
	for _, p := range s.probes {
		if p.target == id {
			return true
		}
	}
	return false
}

// Fenced tells whether this daemon must not act as a holder before it has heard from a peer.
func (s *State) Fenced(now time.Time) bool {
	return s.fence != FenceNone || now.Sub(s.lastTick) > pauseLimit
}

// checkPause notices that this daemon did not run, and judges nobody by that time.
func (s *State) checkPause(now time.Time) {
	gap := now.Sub(s.lastTick)
	if gap <= pauseLimit {
		return
	}
	clear(s.probes)
	for _, known := range s.members {
		known.since = known.since.Add(gap)
	}
	s.nextProbe = now
	if s.hasPeer() {
		s.setFence(FencePaused)
	}
}

func (s *State) hasPeer() bool {
	for _, known := range s.members {
		if known.member.State != chicoryhall.MemberDead {
			return true
		}
	}
	return false
}

func (s *State) setFence(reason FenceReason) {
	if s.fence == FenceNone && reason == FenceNone {
		return
	}
	s.fence = reason
	s.fencedAt = s.lastProbe
	s.do(FenceChanged{Fenced: reason != FenceNone, Reason: reason})
}

// checkProbes asks others about late answers and suspects where none came.
func (s *State) checkProbes(now time.Time) {
	for _, number := range s.openProbes() {
		p := s.probes[number]
		switch waited := now.Sub(p.sentAt); {
		case waited >= probeTimeout:
			delete(s.probes, number)
			s.judge(p, chicoryhall.MemberSuspect, now)
		case waited >= directTimeout && !p.indirect:
			p.indirect = true
			s.askOthers(number, p)
		case p.failed:
			p.failed = false
			s.sendAgain(number, p)
		}
	}
}

func (s *State) openProbes() []ProbeNumber {
	numbers := make([]ProbeNumber, 0, len(s.probes))
	for number := range s.probes {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}

// judge believes a state of a probed daemon unless it has a newer incarnation.
func (s *State) judge(p *probe, state chicoryhall.MemberState, now time.Time) {
	known, ok := s.members[p.target]
	if !ok || known.member.Incarnation != p.incarnation {
		return
	}
	if state == chicoryhall.MemberSuspect && known.member.State == chicoryhall.MemberLeaving {
		state = chicoryhall.MemberDead // A leaving daemon that goes silent has gone.
	}
	member := known.member
	member.State = state
	s.merge(member, now)
}

// checkSuspects declares those dead that did not refute in time.
func (s *State) checkSuspects(now time.Time) {
	limit := s.suspicionLimit()
	for _, id := range slices.Sorted(maps.Keys(s.suspects)) {
		member := s.members[id].member
		if now.Sub(s.members[id].since) < limit {
			continue
		}
		member.State = chicoryhall.MemberDead
		s.merge(member, now)
	}
}

// suspicionLimit grows with the logarithm of the members, as the time to spread a refutation does.
func (s *State) suspicionLimit() time.Duration {
	factor := max(1, math.Log10(float64(len(s.members)+1)))
	return time.Duration(float64(suspicionTimeout) * factor)
}

// probeNext probes the next daemon of the own failure domain or, at times, of any.
func (s *State) probeNext(now time.Time) {
	s.turn++
	order := &s.near
	if s.turn%farProbeShare == 0 {
		order = &s.all
	}
	id, ok := order.pick(s.random, s.isPresent)
	if !ok {
		id, ok = s.all.pick(s.random, s.isPresent)
	}
	if ok {
		s.send(s.members[id].member, now)
	}
}

func (s *State) isPresent(id chicoryhall.DaemonID) bool {
	return s.members[id].member.State != chicoryhall.MemberDead
}

// probeDead finds out whether a daemon believed dead is back, as after a partition.
func (s *State) probeDead(now time.Time) {
	id, ok := s.all.pick(s.random, func(id chicoryhall.DaemonID) bool { return !s.isPresent(id) })
	if ok {
		s.send(s.members[id].member, now)
	}
}

func (s *State) send(member chicoryhall.Member, now time.Time) {
	s.lastProbe++
	s.probes[s.lastProbe] = &probe{target: member.ID, sentAt: now, incarnation: member.Incarnation}
	s.do(SendProbe{Probe: s.lastProbe, To: member.ID, Address: member.PeerAddress, Packet: s.packetFor(member.ID)})
}

// sendAgain repeats a probe whose connection failed.
func (s *State) sendAgain(number ProbeNumber, p *probe) {
	if target, ok := s.members[p.target]; ok {
		s.do(SendProbe{Probe: number, To: p.target, Address: target.member.PeerAddress, Packet: s.packetFor(p.target)})
	}
}

func (s *State) askOthers(number ProbeNumber, p *probe) {
	target, ok := s.members[p.target]
	if !ok || target.member.State == chicoryhall.MemberDead {
		return
	}
	asked := map[chicoryhall.DaemonID]bool{p.target: true}
	for range indirectProbes {
		via, ok := s.all.pick(s.random, func(id chicoryhall.DaemonID) bool {
			return !asked[id] && s.members[id].member.State == chicoryhall.MemberAlive
		})
		if !ok {
			return
		}
		asked[via] = true
		s.do(SendIndirect{
			Probe: number, Via: via, Target: p.target,
			TargetAddress: target.member.PeerAddress, Packet: s.packetFor(via),
		})
	}
}

// forgetDead drops entries of daemons that have long been dead.
func (s *State) forgetDead(now time.Time) {
	for id, known := range s.members {
		if known.member.State == chicoryhall.MemberDead && now.Sub(known.since) > deadRetention {
			delete(s.members, id)
			s.near.remove(id)
			s.all.remove(id)
		}
	}
}

// visitSeed exchanges entries with a seed, often while no peer is known.
func (s *State) visitSeed(now time.Time) {
	if len(s.seeds) == 0 {
		return
	}
	s.nextSeed = now.Add(seedPeriod)
	if !s.hasPeer() {
		s.nextSeed = now.Add(lonelySeedPeriod)
	}
	address := s.seeds[s.random.IntN(len(s.seeds))]
	if !s.isPeerAt(address) {
		s.do(SendSync{Address: address, Members: s.everything()})
	}
}

// isPeerAt tells whether a daemon that is probed anyway listens at an address.
func (s *State) isPeerAt(address string) bool {
	for _, known := range s.members {
		if known.member.PeerAddress == address && known.member.State != chicoryhall.MemberDead {
			return true
		}
	}
	return false
}

// checkSuspicion lets a few of the daemons that hear of a suspicion tell the suspect of it.
func (s *State) checkSuspicion(member chicoryhall.Member, now time.Time) {
	if s.random.IntN(len(s.members)) < suspicionProbes && !s.isProbed(member.ID) {
		s.send(member, now)
	}
}
