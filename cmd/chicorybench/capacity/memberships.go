package capacity

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/membership"
)

// The names of the measurements for the membership.
const (
	membershipBytes  = "membership messages"
	membershipTime   = "membership time"
	membershipMemory = "membership memory"
)

// packetBytes is the assumed size of the JSON text of a packet without its updates.
const packetBytes = 60

// base64Growth is the factor by which base64 in JSON enlarges binary data.
const base64Growth = 4.0 / 3.0

func membershipExperiments() []Experiment {
	sizes := []int{8, 60, 180, 360}
	return []Experiment{
		{name: membershipBytes, unit: "bytes/s", driver: "daemons", sizes: sizes, measure: measureMembershipBytes},
		{name: membershipTime, unit: "µs/s", driver: "daemons", sizes: sizes, measure: measureMembershipTime},
		{name: membershipMemory, unit: "bytes", driver: "daemons", sizes: sizes, measure: measureMembershipMemory},
	}
}

// membershipRun runs the membership state of one daemon in simulated time. Its peers answer every probe, and daemons
// restart as often as at the design size.
type membershipRun struct {
	state   *membership.State
	members *fakeMembers
	now     time.Time
	bytes   float64
	// peerTurn counts the choices of a peer, to choose another one each time.
	peerTurn int
}

func newMembershipRun(daemons int) *membershipRun {
	r := &membershipRun{members: membersOf(daemons), now: time.Unix(1_796_330_000, 0)}
	r.state = membership.New(membership.Config{Self: r.members.self, RandomSeed: 1}, r.now)
	r.state.HandleSync(r.members.others, r.now)
	return r
}

// run runs the state for a duration of simulated time.
func (r *membershipRun) run(duration time.Duration) {
	restartPeriod := time.Duration(secondsPerDay / (designRestartsPerDay + designFailuresPerDay) * float64(time.Second))
	nextRestart := r.now.Add(restartPeriod)
	for end := r.now.Add(duration); r.now.Before(end); r.now = r.now.Add(membership.TickPeriod) {
		r.handle(r.state.Tick(r.now))
		if r.now.After(nextRestart) {
			nextRestart = nextRestart.Add(restartPeriod)
			r.restartOne()
		}
	}
}

// restartOne lets a peer restart. The daemon learns it from a probe of that peer.
func (r *membershipRun) restartOne() {
	r.peerTurn++
	other := &r.members.others[r.peerTurn%len(r.members.others)]
	other.Incarnation++
	update := membership.Packet{Incarnation: other.Incarnation, Digest: r.state.Digest(), Updates: []chicoryhall.Member{*other}}
	answer, actions := r.state.Receive(other.ID, update, r.now)
	r.count(update)
	r.count(answer)
	r.handle(actions)
}

// handle answers every probe sent by the daemon. For each, it also lets the daemon receive one probe from a peer.
func (r *membershipRun) handle(actions []membership.Action) {
	for _, action := range actions {
		probe, sent := action.(membership.SendProbe)
		if !sent {
			continue
		}
		r.peerTurn++
		ack := membership.Packet{Incarnation: 1, Digest: r.state.Digest()}
		r.count(probe.Packet)
		r.count(ack)
		r.handle(r.state.Acked(probe.Probe, ack, r.now))
		from := r.members.others[r.peerTurn%len(r.members.others)]
		incoming := membership.Packet{Incarnation: from.Incarnation, Digest: r.state.Digest()}
		answer, more := r.state.Receive(from.ID, incoming, r.now)
		r.count(incoming)
		r.count(answer)
		r.handle(more)
	}
}

// count adds the size of a packet to the bytes transferred.
func (r *membershipRun) count(packet membership.Packet) {
	r.bytes += frameBytes + packetBytes
	if len(packet.Updates) > 0 {
		r.bytes += base64Growth * float64(len(membership.EncodeMembers(packet.Updates)))
	}
}

func measureMembershipBytes(daemons int) (float64, error) {
	const duration = time.Hour
	r := newMembershipRun(daemons)
	r.run(duration)
	return r.bytes / duration.Seconds(), nil
}

func measureMembershipTime(daemons int) (float64, error) {
	const duration = 10 * time.Minute
	r := newMembershipRun(daemons)
	start := time.Now()
	r.run(duration)
	return float64(time.Since(start).Microseconds()) / duration.Seconds(), nil
}

func measureMembershipMemory(daemons int) (float64, error) {
	return heapBytes(func() any { return newMembershipRun(daemons).state }), nil
}
