package membership_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/membership"
)

// envelopeBytes is the approximate size of the JSON-RPC envelope and the length prefix around one packet.
const envelopeBytes = 80

// delivery is a message in transit: run handles it at the receiver; refuse, if set, runs at the sender when the
// receiver has crashed.
type delivery struct {
	at       time.Time
	sequence int
	from, to chicoryhall.DaemonID
	run      func(d *daemon, now time.Time) []membership.Action
	refuse   func(d *daemon, now time.Time) []membership.Action
}

type deliveryQueue []*delivery

func (q deliveryQueue) Len() int { return len(q) }
func (q deliveryQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q deliveryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *deliveryQueue) Push(x any)   { *q = append(*q, x.(*delivery)) }
func (q *deliveryQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// daemon is one State in the simulated network.
type daemon struct {
	state   *membership.State
	crashed bool
	paused  bool
	// queued holds the messages that arrive during a pause.
	queued    []*delivery
	partition int
	bytes     int
	// seen holds the latest entry of each peer, to check that no incarnation goes back.
	seen   map[chicoryhall.DaemonID]chicoryhall.Member
	fences []membership.FenceChanged
	deaths []chicoryhall.DaemonID
}

// network simulates daemons and the delivery of their packets in virtual time.
type network struct {
	now      time.Time
	random   *rand.Rand
	daemons  map[chicoryhall.DaemonID]*daemon
	ids      []chicoryhall.DaemonID
	queue    deliveryQueue
	sequence int
	// loss and duplicate are the probabilities that a packet is lost or, if not, delivered twice.
	loss      float64
	duplicate float64
	// maxExtraDelay bounds the random extra delay of a packet, which changes the order of packets.
	maxExtraDelay time.Duration
	countSize     bool
	violation     string
}

func newNetwork(seed uint64) *network {
	return &network{
		now:     time.UnixMilli(1_000_000),
		random:  rand.New(rand.NewPCG(seed, 7)),
		daemons: map[chicoryhall.DaemonID]*daemon{},
	}
}

func daemonID(i int) chicoryhall.DaemonID { return chicoryhall.DaemonID(fmt.Sprintf("daemon-%03d", i)) }

// start starts or restarts daemon i of a deployment with the given number of failure domains.
func (n *network) start(i, domains int) {
	id := daemonID(i)
	self := chicoryhall.Member{
		ID: id, Region: "tw-north", FailureDomain: chicoryhall.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
		PeerAddress: string(id), CallerAddress: "10.0.0.1:8080", Incarnation: n.now.UnixMilli(),
	}
	if _, ok := n.daemons[id]; !ok {
		n.ids = append(n.ids, id)
	}
	n.daemons[id] = &daemon{
		state: membership.New(membership.Config{
			Self: self, Seeds: []string{string(daemonID(0)), string(daemonID(1))}, RandomSeed: n.random.Uint64(),
		}, n.now),
		seen: map[chicoryhall.DaemonID]chicoryhall.Member{},
	}
}

// run advances virtual time by d in steps of TickPeriod.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(membership.TickPeriod) {
		n.deliverDue()
		for _, id := range n.ids {
			if d := n.daemons[id]; !d.crashed && !d.paused {
				n.execute(id, d, d.state.Tick(n.now))
			}
		}
	}
}

func (n *network) deliverDue() {
	for len(n.queue) > 0 && !n.queue[0].at.After(n.now) {
		item := heap.Pop(&n.queue).(*delivery)
		n.deliver(item)
	}
}

func (n *network) deliver(item *delivery) {
	target, ok := n.daemons[item.to]
	if !ok || target.partition != n.daemons[item.from].partition {
		return
	}
	switch {
	case target.crashed && item.refuse != nil:
		if source := n.daemons[item.from]; !source.crashed && !source.paused {
			n.execute(item.from, source, item.refuse(source, n.now))
		}
	case target.crashed:
	case target.paused:
		target.queued = append(target.queued, item)
	default:
		n.execute(item.to, target, item.run(target, n.now))
	}
}

// send queues a message, subject to loss, duplication and reordering.
func (n *network) send(item delivery) {
	copies := 1
	if n.random.Float64() < n.loss {
		copies = 0
	} else if n.random.Float64() < n.duplicate {
		copies = 2
	}
	for range copies {
		copied := item
		n.sequence++
		copied.sequence = n.sequence
		copied.at = n.now.Add(time.Millisecond)
		if n.maxExtraDelay > 0 {
			copied.at = copied.at.Add(time.Duration(n.random.Int64N(int64(n.maxExtraDelay))))
		}
		heap.Push(&n.queue, &copied)
	}
}

func (n *network) countBytes(id chicoryhall.DaemonID, value any) {
	if !n.countSize {
		return
	}
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	n.daemons[id].bytes += len(text) + envelopeBytes
}

// countPacket counts the bytes of a packet at both ends.
func (n *network) countPacket(from, to chicoryhall.DaemonID, packet membership.Packet) {
	if n.countSize {
		n.countBytes(from, membership.ToWire(packet))
		n.countBytes(to, membership.ToWire(packet))
	}
}

func (n *network) execute(id chicoryhall.DaemonID, d *daemon, actions []membership.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case membership.SendProbe:
			n.probe(id, a.To, a.Packet, a.Probe)
		case membership.SendIndirect:
			n.indirect(id, a)
		case membership.SendSync:
			n.sync(id, a)
		case membership.FenceChanged:
			d.fences = append(d.fences, a)
		case membership.MemberChanged:
			n.checkEntry(id, d, a.Member)
		}
	}
}

func (n *network) checkEntry(id chicoryhall.DaemonID, d *daemon, member chicoryhall.Member) {
	if old, ok := d.seen[member.ID]; ok && member.Incarnation < old.Incarnation {
		n.violation = fmt.Sprintf("%s took %s back from incarnation %d to %d", id, member.ID, old.Incarnation, member.Incarnation)
	}
	d.seen[member.ID] = member
	if member.State == chicoryhall.MemberDead {
		d.deaths = append(d.deaths, member.ID)
	}
}

func (n *network) probe(from, to chicoryhall.DaemonID, packet membership.Packet, number membership.ProbeNumber) {
	n.countPacket(from, to, packet)
	n.send(delivery{from: from, to: to, run: func(d *daemon, now time.Time) []membership.Action {
		answer, actions := d.state.Receive(from, packet, now)
		n.countPacket(to, from, answer)
		n.send(delivery{from: to, to: from, run: func(d *daemon, now time.Time) []membership.Action {
			return d.state.Acked(number, answer, now)
		}})
		return actions
	}, refuse: func(d *daemon, now time.Time) []membership.Action {
		return d.state.ProbeFailed(number, true, now)
	}})
}

func (n *network) indirect(from chicoryhall.DaemonID, a membership.SendIndirect) {
	n.countPacket(from, a.Via, a.Packet)
	n.send(delivery{from: from, to: a.Via, run: func(*daemon, time.Time) []membership.Action {
		n.send(delivery{from: a.Via, to: a.Target, run: func(*daemon, time.Time) []membership.Action {
			n.send(delivery{from: a.Target, to: a.Via, run: func(*daemon, time.Time) []membership.Action {
				n.send(delivery{from: a.Via, to: from, run: func(d *daemon, _ time.Time) []membership.Action {
					d.state.IndirectlyAcked(a.Probe)
					return nil
				}})
				return nil
			}})
			return nil
		}})
		return nil
	}})
}

func (n *network) sync(from chicoryhall.DaemonID, a membership.SendSync) {
	to := chicoryhall.DaemonID(a.Address)
	n.countBytes(from, membership.EncodeMembers(a.Members))
	n.send(delivery{from: from, to: to, run: func(d *daemon, now time.Time) []membership.Action {
		all, actions := d.state.HandleSync(a.Members, now)
		n.countBytes(to, membership.EncodeMembers(all))
		n.countBytes(from, membership.EncodeMembers(all))
		n.send(delivery{from: to, to: from, run: func(d *daemon, now time.Time) []membership.Action {
			return d.state.HandleSyncAnswer(all, now)
		}})
		return actions
	}})
}

// resume ends a pause and delivers the messages that arrived during it.
func (n *network) resume(id chicoryhall.DaemonID) {
	d := n.daemons[id]
	d.paused = false
	for _, item := range d.queued {
		item.at = n.now
		heap.Push(&n.queue, item)
	}
	d.queued = nil
}

// disagreement returns the first wrong belief of a running daemon, or else the last violation seen, or "".
func (n *network) disagreement() string {
	for _, id := range n.ids {
		d := n.daemons[id]
		if d.crashed {
			continue
		}
		for _, other := range n.ids {
			if other == id {
				continue
			}
			member, ok := d.state.Member(other)
			dead := !ok || member.State == chicoryhall.MemberDead
			if n.daemons[other].crashed != dead || member.State == chicoryhall.MemberSuspect {
				return fmt.Sprintf("%s believes %s %s (known %v, crashed %v)", id, other, member.State, ok, n.daemons[other].crashed)
			}
		}
	}
	return n.violation
}
