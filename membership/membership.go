package membership

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/peer"
)

const (
	methodProbe    = "member.probe"
	methodIndirect = "member.indirect"
	methodSync     = "member.sync"
	methodGoodbye  = "member.goodbye"
	// maxSends bounds the messages that are on their way at once.
	maxSends = 256
)

// indirectRequest asks a peer to probe another one.
type indirectRequest struct {
	Target  chicoryhall.DaemonID `json:"t"`
	Address string               `json:"a"`
	Packet  wirePacket           `json:"p"`
}

// indirectAnswer tells whether the target answered.
type indirectAnswer struct {
	Answered bool       `json:"a"`
	Packet   wirePacket `json:"p"`
}

// memberList carries entries packed by EncodeMembers.
type memberList struct {
	Members []byte `json:"m"`
}

// Membership runs a State over a peer.Node.
type Membership struct {
	node   *peer.Node
	timer  chicoryhall.Timer
	logger *event.Logger

	mu          sync.Mutex
	state       *State
	subscribers []func(chicoryhall.Member)
	fences      []func(bool)
	group       *errgroup.Group
	ctx         context.Context

	// deliver keeps the order of what subscribers are told.
	deliver sync.Mutex
}

// Start returns a Membership that answers peers at once and probes them while Serve runs.
func Start(config Config, node *peer.Node, timer chicoryhall.Timer, logger *event.Logger) *Membership {
	m := &Membership{node: node, timer: timer, logger: logger, state: New(config, timer.Now())}
	peer.Handle(node, methodProbe, m.handleProbe)
	peer.Handle(node, methodIndirect, m.handleIndirect)
	peer.Handle(node, methodSync, m.handleSync)
	peer.Handle(node, methodGoodbye, m.handleGoodbye)
	node.OnDisconnect(func(id chicoryhall.DaemonID) {
		m.step(func(s *State, now time.Time) []Action { return s.Disconnected(id, now) })
	})
	return m
}

// Serve probes peers until ctx ends.
func (m *Membership) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxSends)
	m.mu.Lock()
	m.group, m.ctx = group, ctx
	m.mu.Unlock()
	ticks := m.timer.Every(TickPeriod, func(now time.Time) {
		m.step(func(s *State, _ time.Time) []Action { return s.Tick(now) })
	})
	<-ctx.Done()
	ticks.Cancel()
	m.mu.Lock()
	m.group = nil
	m.mu.Unlock()
	_ = group.Wait()
	return ctx.Err()
}

// Self returns this daemon's own entry.
func (m *Membership) Self() chicoryhall.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Self()
}

// All returns every known daemon but this one, ordered by ID.
func (m *Membership) All() []chicoryhall.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.All()
}

// Subscribe calls changed with each entry that changes; it must not block.
func (m *Membership) Subscribe(changed func(chicoryhall.Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers, changed)
}

// SubscribeFence calls changed when this daemon must stop or may go on acting as a holder.
func (m *Membership) SubscribeFence(changed func(fenced bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fences = append(m.fences, changed)
}

// Fenced tells whether this daemon must not act as a holder before it has heard from a peer.
func (m *Membership) Fenced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Fenced(m.timer.Now())
}

// Leave tells peers that this daemon shuts down gracefully.
func (m *Membership) Leave() {
	m.step(func(s *State, _ time.Time) []Action { return s.Leave() })
}

// Goodbye tells peers that this daemon is gone, and returns when they have been told.
func (m *Membership) Goodbye(ctx context.Context) {
	m.mu.Lock()
	packet, peers := m.state.Goodbye()
	m.mu.Unlock()
	for _, id := range peers {
		_ = m.node.Call(ctx, id, methodGoodbye, toWire(packet), nil) // Probes find out else.
	}
}

// step gives the state one input and carries out its actions.
func (m *Membership) step(input func(s *State, now time.Time) []Action) {
	m.deliver.Lock()
	defer m.deliver.Unlock()
	m.mu.Lock()
	actions := input(m.state, m.timer.Now())
	m.mu.Unlock()
	for _, action := range actions {
		m.carryOut(action)
	}
}

func (m *Membership) carryOut(action Action) {
	switch a := action.(type) {
	case SendProbe:
		m.send(func(ctx context.Context) { m.sendProbe(ctx, a) })
	case SendIndirect:
		m.send(func(ctx context.Context) { m.sendIndirect(ctx, a) })
	case SendSync:
		m.send(func(ctx context.Context) { m.sendSync(ctx, a) })
	case Changed:
		m.changed(a.Member)
	case FenceChanged:
		m.fenceChanged(a)
	}
}

// send runs one exchange with a peer; beyond maxSends it is dropped as if it were lost.
func (m *Membership) send(exchange func(ctx context.Context)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.group == nil {
		return
	}
	ctx := m.ctx
	m.group.TryGo(func() error {
		limited, cancel := peer.WithTimeout(ctx, m.timer, probeTimeout)
		defer cancel()
		exchange(limited)
		return nil
	})
}

func (m *Membership) sendProbe(ctx context.Context, a SendProbe) {
	m.node.Learn(a.To, a.Address)
	wire, err := peer.Call[wirePacket](ctx, m.node, a.To, methodProbe, toWire(a.Packet))
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		m.step(func(s *State, now time.Time) []Action { return s.Failed(a.Probe, refused, now) })
		return
	}
	m.acked(a.Probe, wire)
}

func (m *Membership) acked(number ProbeNumber, wire wirePacket) {
	packet, err := fromWire(wire)
	if err != nil {
		return // The probe times out like one without an answer.
	}
	m.step(func(s *State, now time.Time) []Action { return s.Acked(number, packet, now) })
}

func (m *Membership) sendIndirect(ctx context.Context, a SendIndirect) {
	request := indirectRequest{Target: a.Target, Address: a.TargetAddress, Packet: toWire(a.Packet)}
	answer, err := peer.Call[indirectAnswer](ctx, m.node, a.Via, methodIndirect, request)
	if err != nil || !answer.Answered {
		return
	}
	m.step(func(s *State, _ time.Time) []Action {
		s.Vouched(a.Probe)
		return nil
	})
}

func (m *Membership) sendSync(ctx context.Context, a SendSync) {
	var answer memberList
	request := memberList{Members: EncodeMembers(a.Members)}
	if err := m.node.CallAddress(ctx, a.Address, methodSync, request, &answer); err != nil {
		return // The next visit to a seed or the next difference of digests tries again.
	}
	members, err := DecodeMembers(answer.Members)
	if err != nil {
		return
	}
	m.step(func(s *State, now time.Time) []Action { return s.Synced(members, now) })
}

// changed keeps the node's addresses current and tells the subscribers.
func (m *Membership) changed(member chicoryhall.Member) {
	m.mu.Lock()
	self := m.state.Self().ID
	subscribers := m.subscribers
	m.mu.Unlock()
	if member.ID != self {
		m.node.Learn(member.ID, member.PeerAddress)
		m.logChange(member)
	}
	for _, told := range subscribers {
		told(member)
	}
}

func (m *Membership) fenceChanged(a FenceChanged) {
	m.mu.Lock()
	fences := m.fences
	m.mu.Unlock()
	if m.logger != nil {
		m.logger.Log(event.MembershipFenceChanged, "fenced", a.Fenced, "reason", a.Reason)
	}
	for _, told := range fences {
		told(a.Fenced)
	}
}

func (m *Membership) logChange(member chicoryhall.Member) {
	if m.logger == nil {
		return
	}
	kind := event.MemberChanged
	if member.State == chicoryhall.MemberDead {
		kind = event.MemberDead
	}
	m.logger.Log(kind, "member", member.ID, "state", member.State, "incarnation", member.Incarnation)
}
