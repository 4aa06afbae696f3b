package daemon

import (
	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/settings"
)

// soleMember is a chicoryhall.Members of a daemon without peers.
type soleMember struct {
	self chicoryhall.Member
}

func (b *builder) buildMembers() error {
	b.members = &soleMember{self: selfOf(b.settings)}
	return nil
}

// selfOf is this daemon's entry as its settings describe it.
func selfOf(own settings.Daemon) chicoryhall.Member {
	return chicoryhall.Member{
		ID: own.ID, Region: own.Region, FailureDomain: own.FailureDomain,
		PeerAddress: own.Listen.Peers, CallerAddress: own.Listen.Callers, State: chicoryhall.MemberAlive,
	}
}

// Self returns this daemon.
func (m *soleMember) Self() chicoryhall.Member { return m.self }

// All returns no other daemon.
func (m *soleMember) All() []chicoryhall.Member { return nil }

// Subscribe does nothing, as nothing changes.
func (m *soleMember) Subscribe(func(chicoryhall.Member)) {}
