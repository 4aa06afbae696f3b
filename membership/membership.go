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
	// maxConcurrentCalls bounds the calls to peers in progress at once.
	maxConcurrentCalls = 256
)

// indirectRequest asks a peer to probe another one.
type indirectRequest struct {
	Target  chicoryhall.DaemonID `json:"t"`
	Address string               `json:"a"`
	Packet  wirePacket           `json:"p"`
}

// indirectAnswer reports whether the target answered.
type indirectAnswer struct {
	Answered bool `json:"a"`
	// Packet is the target's answer; the daemon that asked for the probe does not use it.
	Packet wirePacket `json:"p"`
}

// memberList carries entries encoded by EncodeMembers.
type memberList struct {
	Members []byte `json:"m"`
}

// Membership runs a State over a peer.Node.
type Membership struct {
	node   *peer.Node
	timer  chicoryhall.Timer
	logger *event.Logger

	mu               sync.Mutex
	state            *State
	subscribers      []func(chicoryhall.Member)
	fenceSubscribers []func(bool)
	group            *errgroup.Group
	ctx              context.Context

	// deliverMu keeps notifications to subscribers in the order of the changes.
	deliverMu sync.Mutex
}

// Start returns a Membership that answers its peers from now on and probes them while Serve runs.
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
	group.SetLimit(maxConcurrentCalls)
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

// Others returns every known daemon but this one, ordered by ID.
func (m *Membership) Others() []chicoryhall.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Others()
}

// Subscribe registers changed to be called with each entry that changes; changed must not block.
func (m *Membership) Subscribe(changed func(chicoryhall.Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers, changed)
}

// SubscribeFence registers changed to be called when this daemon becomes fenced or stops being fenced.
func (m *Membership) SubscribeFence(changed func(fenced bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fenceSubscribers = append(m.fenceSubscribers, changed)
}

// Fenced reports whether this daemon is fenced and must not act as a holder; see State.Fenced.
func (m *Membership) Fenced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Fenced(m.timer.Now())
}

// AnnounceLeaving announces that this daemon is shutting down gracefully. Peers then list it as MemberLeaving.
func (m *Membership) AnnounceLeaving() {
	m.step(func(s *State, _ time.Time) []Action { return s.AnnounceLeaving() })
}

// AnnounceExit tells a few peers that this daemon has finished and exits now, and returns once all calls have ended.
// Peers then list it as MemberDead.
func (m *Membership) AnnounceExit(ctx context.Context) {
	m.mu.Lock()
	packet, peers := m.state.AnnounceExit()
	m.mu.Unlock()
	for _, id := range peers {
		_ = m.node.Call(ctx, id, methodGoodbye, toWire(packet), nil) // If the call fails, probes detect the death.
	}
}

// step passes one input to the state and executes the resulting actions.
func (m *Membership) step(input func(s *State, now time.Time) []Action) {
	m.deliverMu.Lock()
	defer m.deliverMu.Unlock()
	m.mu.Lock()
	actions := input(m.state, m.timer.Now())
	m.mu.Unlock()
	for _, action := range actions {
		m.execute(action)
	}
}

func (m *Membership) execute(action Action) {
	switch a := action.(type) {
	case SendProbe:
		m.startCall(func(ctx context.Context) { m.sendProbe(ctx, a) })
	case SendIndirect:
		m.startCall(func(ctx context.Context) { m.sendIndirect(ctx, a) })
	case SendSync:
		m.startCall(func(ctx context.Context) { m.sendSync(ctx, a) })
	case MemberChanged:
		m.memberChanged(a.Member)
	case FenceChanged:
		m.fenceChanged(a)
	}
}

// startCall starts a call to a peer. If maxConcurrentCalls are in progress the call is dropped, as if lost on the network.
func (m *Membership) startCall(call func(ctx context.Context)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.group == nil {
		return
	}
	ctx := m.ctx
	m.group.TryGo(func() error {
		limited, cancel := peer.WithTimeout(ctx, m.timer, probeTimeout)
		defer cancel()
		call(limited)
		return nil
	})
}

func (m *Membership) sendProbe(ctx context.Context, a SendProbe) {
	m.node.SetAddress(a.To, a.Address)
	wire, err := peer.Call[wirePacket](ctx, m.node, a.To, methodProbe, toWire(a.Packet))
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		m.step(func(s *State, now time.Time) []Action { return s.ProbeFailed(a.Probe, refused, now) })
		return
	}
	m.handleAck(a.Probe, wire)
}

func (m *Membership) handleAck(number ProbeNumber, wire wirePacket) {
	packet, err := fromWire(wire)
	if err != nil {
		return // The probe times out, as if no answer had come.
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
		s.IndirectlyAcked(a.Probe)
		return nil
	})
}

func (m *Membership) sendSync(ctx context.Context, a SendSync) {
	var answer memberList
	request := memberList{Members: EncodeMembers(a.Members)}
	if err := m.node.CallAddress(ctx, a.Address, methodSync, request, &answer); err != nil {
		return // Retried at the next sync with a seed or the next time digests differ.
	}
	members, err := DecodeMembers(answer.Members)
	if err != nil {
		return
	}
	m.step(func(s *State, now time.Time) []Action { return s.HandleSyncAnswer(members, now) })
}

// memberChanged updates the node's address for a changed member and notifies the subscribers.
func (m *Membership) memberChanged(member chicoryhall.Member) {
	m.mu.Lock()
	self := m.state.Self().ID
	subscribers := m.subscribers
	m.mu.Unlock()
	if member.ID != self {
		m.node.SetAddress(member.ID, member.PeerAddress)
		m.logChange(member)
	}
	for _, notify := range subscribers {
		notify(member)
	}
}

func (m *Membership) fenceChanged(a FenceChanged) {
	m.mu.Lock()
	subscribers := m.fenceSubscribers
	m.mu.Unlock()
	if m.logger != nil {
		m.logger.Log(event.MembershipFenceChanged, "fenced", a.Fenced, "reason", a.Reason)
	}
	for _, notify := range subscribers {
		notify(a.Fenced)
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
