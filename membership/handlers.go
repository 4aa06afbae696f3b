package membership

import (
	"context"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/peer"
)

func (m *Membership) handleProbe(_ context.Context, from chicoryhall.DaemonID, wire wirePacket) (wirePacket, error) {
	packet, err := fromWire(wire)
	if err != nil {
		return wirePacket{}, err
	}
	var answer Packet
	m.step(func(s *State, now time.Time) []Action {
		var actions []Action
		answer, actions = s.Receive(from, packet, now)
		return actions
	})
	return toWire(answer), nil
}

func (m *Membership) handleIndirect(ctx context.Context, _ chicoryhall.DaemonID, request indirectRequest) (indirectAnswer, error) {
	limited, cancel := peer.WithTimeout(ctx, m.timer, directTimeout)
	defer cancel()
	m.node.SetAddress(request.Target, request.Address)
	packet, err := peer.Call[wirePacket](limited, m.node, request.Target, methodProbe, request.Packet)
	return indirectAnswer{Answered: err == nil, Packet: packet}, nil
}

func (m *Membership) handleSync(_ context.Context, _ chicoryhall.DaemonID, request memberList) (memberList, error) {
	members, err := DecodeMembers(request.Members)
	if err != nil {
		return memberList{}, err
	}
	var all []chicoryhall.Member
	m.step(func(s *State, now time.Time) []Action {
		var actions []Action
		all, actions = s.HandleSync(members, now)
		return actions
	})
	return memberList{Members: EncodeMembers(all)}, nil
}

func (m *Membership) handleGoodbye(_ context.Context, from chicoryhall.DaemonID, wire wirePacket) (struct{}, error) {
	packet, err := fromWire(wire)
	if err != nil {
		return struct{}{}, err
	}
	m.step(func(s *State, now time.Time) []Action {
		_, actions := s.Receive(from, packet, now)
		return actions
	})
	return struct{}{}, nil
}
