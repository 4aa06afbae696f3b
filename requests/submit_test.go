package requests

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/idempotency"
)

// deafKeys is an IdempotencyKeys that gets no releases.
type deafKeys struct{ decisions *idempotency.Decisions }

func (k deafKeys) Decide(_ context.Context, p idempotency.Proposal) idempotency.Decision {
	return k.decisions.Decide(p, time.Unix(1000, 0))
}

func (deafKeys) Release(idempotency.Key, chicoryhall.RequestID) {}

// keyedRequest returns a request with a key that all of them share.
func keyedRequest(s *Service, id chicoryhall.RequestID, content uint64) *Request {
	r := &Request{service: s, fingerprint: content}
	r.record.ID, r.record.IdempotencyKey = id, "k"
	return r
}

func TestKeyOfRequestThatWasNotRunIsFree(t *testing.T) {
	cases := []struct {
		name    string
		ended   bool
		outcome chicoryhall.Outcome
		// known is set if the earlier request can still be followed.
		known   bool
		content uint64
		want    idempotency.Decision
	}{
		{"in progress", false, chicoryhall.OutcomeNotRun, true, 1, idempotency.Decision{Request: "earlier"}},
		{"answered", true, chicoryhall.OutcomeAnswered, true, 1, idempotency.Decision{Request: "earlier"}},
		{"outcome unknown", true, chicoryhall.OutcomeUnknown, true, 1, idempotency.Decision{Request: "earlier"}},
		{"answered, other content", true, chicoryhall.OutcomeAnswered, true, 2, idempotency.Decision{Request: "earlier", Reused: true}},
		{"not run", true, chicoryhall.OutcomeNotRun, true, 1, idempotency.Decision{Request: "repeat"}},
		{"not run, other content", true, chicoryhall.OutcomeNotRun, true, 2, idempotency.Decision{Request: "repeat"}},
		{"lost", false, chicoryhall.OutcomeUnknown, false, 1, idempotency.Decision{Request: "repeat"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &Service{byID: make(map[chicoryhall.RequestID]*Request)}
			s.config.IdempotencyKeys = deafKeys{idempotency.NewDecisions()}
			isKnown := func(chicoryhall.RequestID) bool { return c.known }
			earlier := keyedRequest(s, "earlier", 1)
			s.register(earlier)
			must.Eq(t, idempotency.Decision{Request: "earlier"}, s.decide(t.Context(), earlier, isKnown))
			earlier.result.Outcome = c.outcome
			earlier.ended.Store(c.ended)
			must.Eq(t, c.want, s.decide(t.Context(), keyedRequest(s, "repeat", c.content), isKnown))
		})
	}
}
