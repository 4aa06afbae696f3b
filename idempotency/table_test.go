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
	proposal := func(request chicoryhall.RequestID, fingerprint uint64, instead chicoryhall.RequestID) idempotency.Proposal {
		return idempotency.Proposal{Key: key, Request: request, Fingerprint: fingerprint, LostRequest: instead}
	}
	cases := []struct {
		name     string
		before   func(*idempotency.Table)
		proposal idempotency.Proposal
		after    time.Duration
		want     idempotency.Decision
	}{
		{"first", func(*idempotency.Table) {}, proposal("b", 1, ""), 0, idempotency.Decision{Request: "b"}},
		{"second", func(*idempotency.Table) {}, proposal("a", 1, ""), 0, idempotency.Decision{Request: "a"}},
		{"known", func(t *idempotency.Table) { t.Decide(proposal("a", 1, ""), now) }, proposal("b", 1, ""), 0, idempotency.Decision{Request: "a"}},
		{"other content", func(t *idempotency.Table) { t.Decide(proposal("a", 1, ""), now) }, proposal("b", 2, ""), 0, idempotency.Decision{Request: "a", Reused: true}},
		{"recorded", func(t *idempotency.Table) { t.Record(proposal("a", 1, ""), now) }, proposal("b", 1, ""), 0, idempotency.Decision{Request: "a"}},
		{"lost", func(t *idempotency.Table) { t.Decide(proposal("a", 1, ""), now) }, proposal("b", 1, "a"), 0, idempotency.Decision{Request: "b"}},
		{"lost, but replaced before", func(t *idempotency.Table) {
			t.Decide(proposal("a", 1, ""), now)
			t.Decide(proposal("c", 1, "a"), now)
		}, proposal("b", 1, "a"), 0, idempotency.Decision{Request: "c"}},
		{"released", func(t *idempotency.Table) {
			t.Decide(proposal("a", 1, ""), now)
			t.Release(key, "a")
		}, proposal("b", 2, ""), 0, idempotency.Decision{Request: "b"}},
		{"released by another", func(t *idempotency.Table) {
			t.Decide(proposal("a", 1, ""), now)
			t.Release(key, "c")
		}, proposal("b", 1, ""), 0, idempotency.Decision{Request: "a"}},
		{"not yet old", func(t *idempotency.Table) { t.Decide(proposal("a", 1, ""), now) }, proposal("b", 1, ""), idempotency.KeyLifetime - 1, idempotency.Decision{Request: "a"}},
		{"old", func(t *idempotency.Table) { t.Decide(proposal("a", 1, ""), now) }, proposal("b", 1, ""), idempotency.KeyLifetime, idempotency.Decision{Request: "b"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := idempotency.NewTable()
			c.before(table)
			must.Eq(t, c.want, table.Decide(c.proposal, now.Add(c.after)))
		})
	}
}

// view implements chicoryhall.Members with a fixed list of members.
type view struct {
	self chicoryhall.Member
	all  []chicoryhall.Member
}

func (v *view) Self() chicoryhall.Member           { return v.self }
func (v *view) Others() []chicoryhall.Member       { return v.all }
func (v *view) Subscribe(func(chicoryhall.Member)) {}

// TestOwnersAgree checks that all daemons compute the same owners and that the successor takes over when the owner is
// lost.
func TestOwnersAgree(t *testing.T) {
	var members []chicoryhall.Member
	for i := range 9 {
		members = append(members, chicoryhall.Member{ID: chicoryhall.DaemonID(fmt.Sprintf("d%d", i)), Region: "dakar"})
	}
	seenBy := func(self int, lost chicoryhall.DaemonID) *view {
		v := &view{self: members[self]}
		for i, member := range members {
			if i != self && member.ID != lost {
				v.all = append(v.all, member)
			}
		}
		return v
	}
	for k := range 50 {
		key := idempotency.Key{Text: fmt.Sprint(k)}
		owners := idempotency.OwnersOf(key, seenBy(0, ""))
		must.SliceLen(t, idempotency.OwnersPerKey, owners)
		for self := range members {
			must.Eq(t, owners, idempotency.OwnersOf(key, seenBy(self, "")))
			if members[self].ID != owners[0] {
				must.Eq(t, owners[1], idempotency.OwnersOf(key, seenBy(self, owners[0]))[0])
			}
		}
	}
}
