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

// envelopeBytes is the JSON-RPC text and the length prefix around one packet.
const envelopeBytes = 80

// delivery is one input on its way to a daemon.
type delivery struct {
	at       time.Time
	sequence int
	from, to chicoryhall.DaemonID
	run      func(d *daemon, now time.Time) []membership.Action
	refuse   func(d *daemon, now time.Time) []membership.Action
}

type deliveries []*delivery

func (q deliveries) Len() int { return len(q) }
func (q deliveries) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q deliveries) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *deliveries) Push(x any)   { *q = append(*q, x.(*delivery)) }
func (q *deliveries) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// daemon is one State in the network.
type daemon struct {
	state   *membership.State
	crashed bool
	paused  bool
	// waiting holds what arrives during a pause.
	waiting []*delivery
	part    int
	bytes   int
	// seen checks that no entry goes back.
	seen   map[chicoryhall.DaemonID]chicoryhall.Member
	fences []membership.FenceChanged
	deaths []chicoryhall.DaemonID
}

// network carries the packets of daemons in virtual time.
type network struct {
	now       time.Time
	random    *rand.Rand
	daemons   map[chicoryhall.DaemonID]*daemon
	order     []chicoryhall.DaemonID
	queue     deliveries
	sequence  int
	loss      float64
	duplicate float64
	reorder   time.Duration
	countSize bool
	problem   string
}

func newNetwork(seed uint64) *network {
	return &network{
		now:     time.UnixMilli(1_000_000),
		random:  rand.New(rand.NewPCG(seed, 7)),
		daemons: map[chicoryhall.DaemonID]*daemon{},
	}
}

func name(i int) chicoryhall.DaemonID { return chicoryhall.DaemonID(fmt.Sprintf("daemon-%03d", i)) }

// start runs daemon i of a deployment with the given failure domains.
func (n *network) start(i, domains int) {
	id := name(i)
	self := chicoryhall.Member{
		ID: id, Region: "tw-north", FailureDomain: chicoryhall.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
		PeerAddress: string(id), CallerAddress: "10.0.0.1:8080", Incarnation: n.now.UnixMilli(),
	}
	if _, ok := n.daemons[id]; !ok {
		n.order = append(n.order, id)
	}
	n.daemons[id] = &daemon{
		state: membership.New(membership.Config{
			Self: self, Seeds: []string{string(name(0)), string(name(1))}, RandomSeed: n.random.Uint64(),
		}, n.now),
		seen: map[chicoryhall.DaemonID]chicoryhall.Member{},
	}
}

// run lets virtual time pass.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(membership.TickPeriod) {
		n.deliverDue()
		for _, id := range n.order {
			if d := n.daemons[id]; !d.crashed && !d.paused {
				n.carryOut(id, d, d.state.Tick(n.now))
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
	if !ok || target.part != n.daemons[item.from].part {
		return
	}
	switch {
	case target.crashed && item.refuse != nil:
		if source := n.daemons[item.from]; !source.crashed && !source.paused {
			n.carryOut(item.from, source, item.refuse(source, n.now))
		}
	case target.crashed:
	case target.paused:
		target.waiting = append(target.waiting, item)
	default:
		n.carryOut(item.to, target, item.run(target, n.now))
	}
}

// send queues an input with loss, duplication and reordering.
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
		if n.reorder > 0 {
			copied.at = copied.at.Add(time.Duration(n.random.Int64N(int64(n.reorder))))
		}
		heap.Push(&n.queue, &copied)
	}
}

func (n *network) count(id chicoryhall.DaemonID, value any) {
	if !n.countSize {
		return
	}
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	n.daemons[id].bytes += len(text) + envelopeBytes
}

// packet counts a packet at both ends.
func (n *network) packet(from, to chicoryhall.DaemonID, packet membership.Packet) {
	if n.countSize {
		n.count(from, membership.ToWire(packet))
		n.count(to, membership.ToWire(packet))
	}
}

func (n *network) carryOut(id chicoryhall.DaemonID, d *daemon, actions []membership.Action) {
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
		case membership.Changed:
			n.check(id, d, a.Member)
		}
	}
}

func (n *network) check(id chicoryhall.DaemonID, d *daemon, member chicoryhall.Member) {
	if old, ok := d.seen[member.ID]; ok && member.Incarnation < old.Incarnation {
		n.problem = fmt.Sprintf("%s took %s back from incarnation %d to %d", id, member.ID, old.Incarnation, member.Incarnation)
	}
	d.seen[member.ID] = member
	if member.State == chicoryhall.MemberDead {
		d.deaths = append(d.deaths, member.ID)
	}
}

func (n *network) probe(from, to chicoryhall.DaemonID, packet membership.Packet, number membership.ProbeNumber) {
	n.packet(from, to, packet)
	n.send(delivery{from: from, to: to, run: func(d *daemon, now time.Time) []membership.Action {
		answer, actions := d.state.Receive(from, packet, now)
		n.packet(to, from, answer)
		n.send(delivery{from: to, to: from, run: func(d *daemon, now time.Time) []membership.Action {
			return d.state.Acked(number, answer, now)
		}})
		return actions
	}, refuse: func(d *daemon, now time.Time) []membership.Action {
		return d.state.Failed(number, true, now)
	}})
}

func (n *network) indirect(from chicoryhall.DaemonID, a membership.SendIndirect) {
	n.packet(from, a.Via, a.Packet)
	n.send(delivery{from: from, to: a.Via, run: func(*daemon, time.Time) []membership.Action {
		n.send(delivery{from: a.Via, to: a.Target, run: func(*daemon, time.Time) []membership.Action {
			n.send(delivery{from: a.Target, to: a.Via, run: func(*daemon, time.Time) []membership.Action {
				n.send(delivery{from: a.Via, to: from, run: func(d *daemon, _ time.Time) []membership.Action {
					d.state.Vouched(a.Probe)
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
	n.count(from, membership.EncodeMembers(a.Members))
	n.send(delivery{from: from, to: to, run: func(d *daemon, now time.Time) []membership.Action {
		all, actions := d.state.Exchange(a.Members, now)
		n.count(to, membership.EncodeMembers(all))
		n.count(from, membership.EncodeMembers(all))
		n.send(delivery{from: to, to: from, run: func(d *daemon, now time.Time) []membership.Action {
			return d.state.Synced(all, now)
		}})
		return actions
	}})
}

// wake ends a pause; what waited in the sockets arrives after the first tick or before it.
func (n *network) wake(id chicoryhall.DaemonID) {
	d := n.daemons[id]
	d.paused = false
	for _, item := range d.waiting {
		item.at = n.now
		heap.Push(&n.queue, item)
	}
	d.waiting = nil
}

// disagreement returns why the daemons that run do not all agree, or "".
func (n *network) disagreement() string {
	for _, id := range n.order {
		d := n.daemons[id]
		if d.crashed {
			continue
		}
		for _, other := range n.order {
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
	return n.problem
}
