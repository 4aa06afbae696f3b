package membership_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/membership"
)

func FuzzDecodeMembers(f *testing.F) {
	f.Add([]byte{})
	f.Add(membership.EncodeMembers(nil))
	f.Add(membership.EncodeMembers([]chicoryhall.Member{
		{ID: "a", FailureDomain: "xinyi", PeerAddress: "10.0.0.1:7000", Incarnation: 3, State: chicoryhall.MemberLeaving},
		{ID: "b", Incarnation: -1, State: chicoryhall.MemberDead},
	}))
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, packed []byte) {
		members, err := membership.DecodeMembers(packed)
		if err != nil {
			return
		}
		again, err := membership.DecodeMembers(membership.EncodeMembers(members))
		must.NoError(t, err)
		must.Eq(t, members, again)
	})
}
