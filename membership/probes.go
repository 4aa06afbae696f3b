package membership

import (
	"maps"
	"math"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// TickPeriod is the period with which Tick is to be called.
	TickPeriod = 50 * time.Millisecond
	// probePeriod is the time between two regular probes by this daemon.
	probePeriod = 250 * time.Millisecond
	// One in anyDomainEvery regular probes goes to a peer chosen from all failure domains, the others to peers of this
	// daemon's own domain.
	anyDomainEvery = 4
	// directTimeout is how long a probe waits for an answer before other peers are asked to probe the target too.
	directTimeout = 250 * time.Millisecond
	// probeTimeout is how long a probe waits for an answer before its target is suspected.
	probeTimeout = 650 * time.Millisecond
	// goodbyePeers bounds the number of peers that are told when this daemon ends gracefully.
	goodbyePeers = 8
	// indirectProbes is the number of peers that are asked to probe a target indirectly.
	indirectProbes = 3
	// suspicionTimeout is the least time that a suspected daemon has to refute the suspicion.
	suspicionTimeout = 800 * time.Millisecond
	// pauseLimit is the time without a tick after which a daemon considers itself paused.
	// It is shorter than probeTimeout, so that a daemon notices a pause that is long enough for a peer's probe of it to
	// time out. The peer then declares the daemon dead if it is leaving, and otherwise suspects it first.
	pauseLimit = 400 * time.Millisecond
	// suspicionProbes is the mean number of daemons that probe a suspect as soon as they learn of the suspicion.
	suspicionProbes = 8
	// deadProbePeriod is the time between two probes of a daemon believed dead.
	deadProbePeriod = 2 * time.Second
	// deadRetention is how long the entry of a dead daemon is kept.
	deadRetention = 24 * time.Hour
	// isolatedSeedPeriod is the time between two full syncs with a seed while all known peers are dead, seedPeriod the
	// time otherwise.
	isolatedSeedPeriod = time.Second
	seedPeriod         = time.Minute
	// syncPeriod is the least time between two full syncs that this daemon starts because digests differ.
	syncPeriod = 10 * time.Second
	// unsettledSyncPeriod replaces syncPeriod while entries keep changing, as gossip may still deliver the changes by
	// which the digests differ.
	unsettledSyncPeriod = 20 * time.Second
	// settleTime is how long after the last change entries count as still changing.
	settleTime = 2 * time.Second
)

// probe is a probe that has not been answered yet.
type probe struct {
	target            chicoryhall.DaemonID
	sentAt            time.Time
	indirectRequested bool
	// failed is set when the connection failed, for instance because the process is exiting; the next tick sends
	// the probe again.
	failed bool
	// incarnation is the target's incarnation when the probe was sent. If it has changed by the time the probe
	// fails, the failure is ignored.
	incarnation int64
}

// Tick checks all timeouts and sends the probes that are due.
func (s *State) Tick(now time.Time) []Action {
	s.checkPause(now)
	s.lastTick = now
	s.checkProbes(now)
	s.checkSuspects(now)
	if !now.Before(s.nextProbe) {
		s.nextProbe = now.Add(probePeriod)
		s.probeNext(now)
	}
	if !now.Before(s.nextDeadProbe) {
		s.nextDeadProbe = now.Add(deadProbePeriod)
		s.forgetDead(now)
		s.probeDead(now)
	}
	if !now.Before(s.nextSeedSync) {
		s.syncWithSeed(now)
	}
	if s.fence != FenceNone && !s.hasPresentPeer() {
		s.setFence(FenceNone) // All known peers are dead, so none could answer a probe.
	}
	return s.takeActions()
}

// Acked handles the answer to a probe; an answer that comes too late still delivers its updates.
func (s *State) Acked(number ProbeNumber, packet Packet, now time.Time) []Action {
	p, ok := s.probes[number]
	if !ok {
		s.mergeAll(packet.Updates, now)
		return s.takeActions()
	}
	delete(s.probes, number)
	s.handlePacket(p.target, packet, now)
	if number > s.lastProbeBeforeFence {
		s.setFence(FenceNone)
	}
	return s.takeActions()
}

// IndirectlyAcked ends a probe because its target answered an indirect probe by another peer.
func (s *State) IndirectlyAcked(number ProbeNumber) {
	delete(s.probes, number)
}

// ProbeFailed handles a probe that could not be delivered or answered. If the connection was refused, nothing listens
// at the target's address, and the target is declared dead at once.
func (s *State) ProbeFailed(number ProbeNumber, refused bool, now time.Time) []Action {
	p, ok := s.probes[number]
	if !ok {
		return nil
	}
	if !refused {
		p.failed = true // The next tick sends it again; other peers may still reach the target.
		return nil
	}
	delete(s.probes, number)
	s.setTargetState(p, chicoryhall.MemberDead, now)
	return s.takeActions()
}

// Disconnected handles a peer closing its connection; the peer is probed at once.
func (s *State) Disconnected(id chicoryhall.DaemonID, now time.Time) []Action {
	if rec, ok := s.members[id]; ok && rec.member.State != chicoryhall.MemberDead && !s.hasOpenProbe(id) {
		s.startProbe(rec.member, now)
	}
	return s.takeActions()
}

func (s *State) hasOpenProbe(id chicoryhall.DaemonID) bool {
	for _, p := range s.probes {
		if p.target == id {
			return true
		}
	}
	return false
}

// Fenced reports whether this daemon is fenced: it must not act as a holder until a peer has answered a probe sent
// since, or a tick finds that no live peer is known. After a pause it is fenced even before the first tick.
func (s *State) Fenced(now time.Time) bool {
	return s.fence != FenceNone || now.Sub(s.lastTick) > pauseLimit
}

// checkPause detects that this daemon did not run for a while. Peers could not reach it in that time, so open probes are
// dropped and the deadlines of suspects are extended by the length of the pause. If all known peers are dead, it sets no fence.
func (s *State) checkPause(now time.Time) {
	gap := now.Sub(s.lastTick)
	if gap <= pauseLimit {
		return
	}
	clear(s.probes)
	for _, rec := range s.members {
		rec.stateSince = rec.stateSince.Add(gap)
	}
	s.nextProbe = now
	if s.hasPresentPeer() {
		s.setFence(FencePaused)
	}
}

// hasPresentPeer reports whether a peer is known that is not dead. Suspect and leaving peers count as present.
func (s *State) hasPresentPeer() bool {
	for _, rec := range s.members {
		if rec.member.State != chicoryhall.MemberDead {
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
	s.lastProbeBeforeFence = s.lastProbe
	s.emit(FenceChanged{Fenced: reason != FenceNone, Reason: reason})
}

// checkProbes requests indirect probes of targets whose answer is late, suspects targets that did not answer in time,
// and resends probes that failed.
func (s *State) checkProbes(now time.Time) {
	for _, number := range s.openProbes() {
		p := s.probes[number]
		switch waited := now.Sub(p.sentAt); {
		case waited >= probeTimeout:
			delete(s.probes, number)
			s.setTargetState(p, chicoryhall.MemberSuspect, now)
		case waited >= directTimeout && !p.indirectRequested:
			p.indirectRequested = true
			s.requestIndirectProbes(number, p)
		case p.failed:
			p.failed = false
			s.resendProbe(number, p)
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

// setTargetState sets the state of a probe's target unless its incarnation has changed since the probe was sent.
func (s *State) setTargetState(p *probe, state chicoryhall.MemberState, now time.Time) {
	rec, ok := s.members[p.target]
	if !ok || rec.member.Incarnation != p.incarnation {
		return
	}
	if state == chicoryhall.MemberSuspect && rec.member.State == chicoryhall.MemberLeaving {
		state = chicoryhall.MemberDead // A leaving daemon that stops answering has exited.
	}
	member := rec.member
	member.State = state
	s.merge(member, now)
}

// checkSuspects declares suspects dead that did not refute the suspicion in time.
func (s *State) checkSuspects(now time.Time) {
	limit := s.suspicionLimit()
	for _, id := range slices.Sorted(maps.Keys(s.suspects)) {
		member := s.members[id].member
		if now.Sub(s.members[id].stateSince) < limit {
			continue
		}
		member.State = chicoryhall.MemberDead
		s.merge(member, now)
	}
}

// suspicionLimit returns how long a suspect has to refute. It grows with the logarithm of the number of members, as
// does the time that a refutation needs to spread.
func (s *State) suspicionLimit() time.Duration {
	factor := max(1, math.Log10(float64(len(s.members)+1)))
	return time.Duration(float64(suspicionTimeout) * factor)
}

// probeNext probes the next peer of this daemon's failure domain. It chooses from all domains for one in anyDomainEvery
// probes, and if the own domain has no peer.
func (s *State) probeNext(now time.Time) {
	s.probeCount++
	order := &s.domainPeers
	if s.probeCount%anyDomainEvery == 0 {
		order = &s.allPeers
	}
	id, ok := order.pick(s.random, s.isPresent)
	if !ok {
		id, ok = s.allPeers.pick(s.random, s.isPresent)
	}
	if ok {
		s.startProbe(s.members[id].member, now)
	}
}

// isPresent reports whether a known peer is not dead. Suspect and leaving peers count as present.
func (s *State) isPresent(id chicoryhall.DaemonID) bool {
	return s.members[id].member.State != chicoryhall.MemberDead
}

// probeDead probes a daemon believed dead, to detect that it is reachable again, for instance after a partition.
func (s *State) probeDead(now time.Time) {
	id, ok := s.allPeers.pick(s.random, func(id chicoryhall.DaemonID) bool { return !s.isPresent(id) })
	if ok {
		s.startProbe(s.members[id].member, now)
	}
}

func (s *State) startProbe(member chicoryhall.Member, now time.Time) {
	s.lastProbe++
	s.probes[s.lastProbe] = &probe{target: member.ID, sentAt: now, incarnation: member.Incarnation}
	s.emit(SendProbe{Probe: s.lastProbe, To: member.ID, Address: member.PeerAddress, Packet: s.packetFor(member.ID)})
}

// resendProbe repeats a probe whose connection failed.
func (s *State) resendProbe(number ProbeNumber, p *probe) {
	if target, ok := s.members[p.target]; ok {
		s.emit(SendProbe{Probe: number, To: p.target, Address: target.member.PeerAddress, Packet: s.packetFor(p.target)})
	}
}

func (s *State) requestIndirectProbes(number ProbeNumber, p *probe) {
	target, ok := s.members[p.target]
	if !ok || target.member.State == chicoryhall.MemberDead {
		return
	}
	asked := map[chicoryhall.DaemonID]bool{p.target: true}
	for range indirectProbes {
		via, ok := s.allPeers.pick(s.random, func(id chicoryhall.DaemonID) bool {
			return !asked[id] && s.members[id].member.State == chicoryhall.MemberAlive
		})
		if !ok {
			return
		}
		asked[via] = true
		s.emit(SendIndirect{
			Probe: number, Via: via, Target: p.target,
			TargetAddress: target.member.PeerAddress, Packet: s.packetFor(via),
		})
	}
}

// forgetDead deletes the entries of daemons that have been dead for longer than deadRetention.
func (s *State) forgetDead(now time.Time) {
	for id, rec := range s.members {
		if rec.member.State == chicoryhall.MemberDead && now.Sub(rec.stateSince) > deadRetention {
			delete(s.members, id)
			s.domainPeers.remove(id)
			s.allPeers.remove(id)
		}
	}
}

// syncWithSeed starts a full sync with a random seed, unless the daemon there is probed anyway, and schedules the next.
func (s *State) syncWithSeed(now time.Time) {
	if len(s.seeds) == 0 {
		return
	}
	s.nextSeedSync = now.Add(seedPeriod)
	if !s.hasPresentPeer() {
		s.nextSeedSync = now.Add(isolatedSeedPeriod)
	}
	address := s.seeds[s.random.IntN(len(s.seeds))]
	if !s.isPeerAt(address) {
		s.emit(SendSync{Address: address, Members: s.allEntries()})
	}
}

// isPeerAt reports whether a known daemon that is not dead has the given address.
func (s *State) isPeerAt(address string) bool {
	for _, rec := range s.members {
		if rec.member.PeerAddress == address && rec.member.State != chicoryhall.MemberDead {
			return true
		}
	}
	return false
}

// maybeProbeSuspect probes a suspect with the probability at which, on average, suspicionProbes daemons probe it. The
// probe tells the suspect of the suspicion, so that it can refute it.
func (s *State) maybeProbeSuspect(member chicoryhall.Member, now time.Time) {
	if s.random.IntN(len(s.members)) < suspicionProbes && !s.hasOpenProbe(member.ID) {
		s.startProbe(member, now)
	}
}
