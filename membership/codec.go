package membership

import (
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"chicoryhall.example/chicoryhall"
)

const (
	// memberFields is the number of fields of an encoded entry.
	memberFields = 8
	// maxMembers bounds the number of entries that are decoded from one message.
	maxMembers = 10_000
)

// wirePacket is the JSON form of a Packet, with the entries encoded as MessagePack.
type wirePacket struct {
	Incarnation     int64  `json:"i"`
	Digest          uint64 `json:"d"`
	ReceiverUnknown bool   `json:"x,omitempty"`
	DeadIncarnation int64  `json:"z,omitempty"`
	Updates         []byte `json:"u,omitempty"`
}

func toWire(packet Packet) wirePacket {
	wire := wirePacket{Incarnation: packet.Incarnation, Digest: packet.Digest, ReceiverUnknown: packet.ReceiverUnknown, DeadIncarnation: packet.DeadIncarnation}
	if len(packet.Updates) > 0 {
		wire.Updates = EncodeMembers(packet.Updates)
	}
	return wire
}

func fromWire(wire wirePacket) (Packet, error) {
	packet := Packet{Incarnation: wire.Incarnation, Digest: wire.Digest, ReceiverUnknown: wire.ReceiverUnknown, DeadIncarnation: wire.DeadIncarnation}
	if len(wire.Updates) == 0 {
		return packet, nil
	}
	updates, err := DecodeMembers(wire.Updates)
	packet.Updates = updates
	return packet, err
}

// EncodeMembers encodes entries as MessagePack arrays.
func EncodeMembers(members []chicoryhall.Member) []byte {
	out := msgp.AppendArrayHeader(nil, uint32(len(members)))
	for _, m := range members {
		out = msgp.AppendArrayHeader(out, memberFields)
		out = msgp.AppendString(out, string(m.ID))
		out = msgp.AppendString(out, string(m.Region))
		out = msgp.AppendString(out, string(m.FailureDomain))
		out = msgp.AppendString(out, m.PeerAddress)
		out = msgp.AppendString(out, m.CallerAddress)
		out = msgp.AppendInt64(out, m.Incarnation)
		out = msgp.AppendInt64(out, m.StartIncarnation)
		out = msgp.AppendInt(out, int(m.State))
	}
	return out
}

// DecodeMembers decodes entries encoded by EncodeMembers.
func DecodeMembers(encoded []byte) ([]chicoryhall.Member, error) {
	count, rest, err := msgp.ReadArrayHeaderBytes(encoded)
	if err != nil {
		return nil, errors.Wrap(err, "decode members")
	}
	if count > maxMembers {
		return nil, errors.Errorf("decode members: %d exceed the limit of %d", count, maxMembers)
	}
	var members []chicoryhall.Member
	for i := range count {
		var member chicoryhall.Member
		member, rest, err = decodeMember(rest)
		if err != nil {
			return nil, errors.Wrapf(err, "decode member %d of %d", i+1, count)
		}
		members = append(members, member)
	}
	return members, nil
}

func decodeMember(encoded []byte) (chicoryhall.Member, []byte, error) {
	var member chicoryhall.Member
	fields, rest, err := msgp.ReadArrayHeaderBytes(encoded)
	if err != nil {
		return member, nil, err
	}
	if fields != memberFields {
		return member, nil, errors.Errorf("%d fields instead of %d", fields, memberFields)
	}
	var texts [5]string
	for i := range texts {
		if texts[i], rest, err = msgp.ReadStringBytes(rest); err != nil {
			return member, nil, err
		}
	}
	if member.Incarnation, rest, err = msgp.ReadInt64Bytes(rest); err != nil {
		return member, nil, err
	}
	if member.StartIncarnation, rest, err = msgp.ReadInt64Bytes(rest); err != nil {
		return member, nil, err
	}
	state, rest, err := msgp.ReadIntBytes(rest)
	if err != nil {
		return member, nil, err
	}
	member.ID = chicoryhall.DaemonID(texts[0])
	member.Region = chicoryhall.Region(texts[1])
	member.FailureDomain = chicoryhall.FailureDomain(texts[2])
	member.PeerAddress = texts[3]
	member.CallerAddress = texts[4]
	member.State = chicoryhall.MemberState(state)
	return member, rest, validateMember(member)
}

func validateMember(member chicoryhall.Member) error {
	if member.ID == "" {
		return errors.New("the daemon has no ID")
	}
	if !member.State.IsAMemberState() {
		return errors.Errorf("daemon %q has an unknown state %d", member.ID, int(member.State))
	}
	return nil
}
