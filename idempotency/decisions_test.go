package idempotency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/idempotency"
)

// TestDecide checks which request a key identifies, and when a key is freed for another one.
func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	key := idempotency.Key{Organisation: "garage", Service: "manual", Text: "k"}
	proposal := func(request chicoryhall.RequestID, fingerprint uint64, lostRequest chicoryhall.RequestID) idempotency.Proposal {
		return idempotency.Proposal{Key: key, Request: request, Fingerprint: fingerprint, LostRequest: lostRequest}
	}
	cases := []struct {
		name     string
		setup    func(*idempotency.Decisions)
		proposal idempotency.Proposal
		delay    time.Duration
		want     idempotency.Decision
	}{
		{"first proposal", func(*idempotency.Decisions) {}, proposal("b", 1, ""), 0, idempotency.Decision{Request: "b"}},
		{"first proposal, of a request with a smaller ID", func(*idempotency.Decisions) {}, proposal("a", 1, ""), 0, idempotency.Decision{Request: "a"}},
		{"known", func(d *idempotency.Decisions) { d.Decide(proposal("a", 1, ""), now) }, proposal("b", 1, ""), 0, idempotency.Decision{Request: "a"}},
		{"other content", func(d *idempotency.Decisions) { d.Decide(proposal("a", 1, ""), now) }, proposal("b", 2, ""), 0, idempotency.Decision{Request: "a", Reused: true}},
		{"recorded", func(d *idempotency.Decisions) { d.Record(proposal("a", 1, ""), now) }, proposal("b", 1, ""), 0, idempotency.Decision{Request: "a"}},
		{"request lost", func(d *idempotency.Decisions) { d.Decide(proposal("a", 1, ""), now) }, proposal("b", 1, "a"), 0, idempotency.Decision{Request: "b"}},
		{"request lost, but replaced before", func(d *idempotency.Decisions) {
			d.Decide(proposal("a", 1, ""), now)
			d.Decide(proposal("c", 1, "a"), now)
		}, proposal("b", 1, "a"), 0, idempotency.Decision{Request: "c"}},
		{"released", func(d *idempotency.Decisions) {
			d.Decide(proposal("a", 1, ""), now)
			d.Release(key, "a")
		}, proposal("b", 2, ""), 0, idempotency.Decision{Request: "b"}},
		{"release of another request", func(d *idempotency.Decisions) {
			d.Decide(proposal("a", 1, ""), now)
			d.Release(key, "c")
		}, proposal("b", 1, ""), 0, idempotency.Decision{Request: "a"}},
		{"just before the end of its lifetime", func(d *idempotency.Decisions) { d.Decide(proposal("a", 1, ""), now) }, proposal("b", 1, ""), idempotency.KeyLifetime - 1, idempotency.Decision{Request: "a"}},
		{"at the end of its lifetime", func(d *idempotency.Decisions) { d.Decide(proposal("a", 1, ""), now) }, proposal("b", 1, ""), idempotency.KeyLifetime, idempotency.Decision{Request: "b"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			decisions := idempotency.NewDecisions()
			c.setup(decisions)
			must.Eq(t, c.want, decisions.Decide(c.proposal, now.Add(c.delay)))
		})
	}
}

// fixedMembers implements chicoryhall.Members with a fixed list of members.
type fixedMembers struct {
	self   chicoryhall.Member
	others []chicoryhall.Member
}

func (v *fixedMembers) Self() chicoryhall.Member           { return v.self }
func (v *fixedMembers) Others() []chicoryhall.Member       { return v.others }
func (v *fixedMembers) Subscribe(func(chicoryhall.Member)) {}

// TestDaemonsAgreeOnReplicas checks that all daemons compute the same replicas and that the successor becomes the owner
// when the owner is lost.
func TestDaemonsAgreeOnReplicas(t *testing.T) {
	var members []chicoryhall.Member // Their zero State is MemberAlive.
	for i := range 9 {
		members = append(members, chicoryhall.Member{ID: chicoryhall.DaemonID(fmt.Sprintf("d%d", i)), Region: "dakar"})
	}
	seenBy := func(self int, lost chicoryhall.DaemonID) *fixedMembers {
		v := &fixedMembers{self: members[self]}
		for i, member := range members {
			if i != self && member.ID != lost {
				v.others = append(v.others, member)
			}
		}
		return v
	}
	for k := range 50 {
		key := idempotency.Key{Text: fmt.Sprint(k)}
		replicas := idempotency.ReplicasOf(key, seenBy(0, ""))
		must.SliceLen(t, idempotency.ReplicasPerKey, replicas)
		for self := range members {
			must.Eq(t, replicas, idempotency.ReplicasOf(key, seenBy(self, "")))
			if members[self].ID != replicas[0] {
				must.Eq(t, replicas[1], idempotency.ReplicasOf(key, seenBy(self, replicas[0]))[0])
			}
		}
	}
}
