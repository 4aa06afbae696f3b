package claim_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/claim"
	"chicoryhall.example/chicoryhall/table/tabletest"
	"chicoryhall.example/chicoryhall/timer"
)

func startClaims(t *testing.T, store chicoryhall.Table) *claim.Claims {
	s := claim.New(store, timer.New(), nil, nil)
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = s.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		serving.Wait()
	})
	return s
}

func TestOneOfManyAttemptsGetsTheClaim(t *testing.T) {
	const daemons, keys, attempts = 4, 50, 400
	store := &tabletest.Store{}
	store.LoseAnswers(5)
	var claims []*claim.Claims
	for range daemons {
		claims = append(claims, startClaims(t, store))
	}
	var ours [keys]atomic.Int64
	var group sync.WaitGroup
	for i := range attempts {
		group.Go(func() {
			got, err := claims[i%daemons].Claim(t.Context(), "o", "s", fmt.Sprint(i%keys), "f")
			must.NoError(t, err)
			if got.State == chicoryhall.ClaimOurs {
				ours[i%keys].Add(1)
			}
		})
	}
	group.Wait()
	for i := range ours {
		must.Eq(t, 1, ours[i].Load())
	}
	t.Logf("%d attempts of %d keys at %d daemons took %d transactions", attempts, keys, daemons, store.Transactions())
}

func TestRepeatsGetTheOutcome(t *testing.T) {
	store := &tabletest.Store{}
	first, second := startClaims(t, store), startClaims(t, store)
	got, err := first.Claim(t.Context(), "o", "s", "k", "f")
	must.NoError(t, err)
	must.Eq(t, chicoryhall.ClaimOurs, got.State)
	got, err = second.Claim(t.Context(), "o", "s", "k", "f")
	must.NoError(t, err)
	must.Eq(t, chicoryhall.ClaimResult{State: chicoryhall.ClaimTaken, Fingerprint: "f"}, got)
	must.ErrorContains(t, second.Record(t.Context(), "o", "s", "k", "answer"), "this daemon remembers no pending claim of the key")
	store.LoseAnswers(1)
	must.NoError(t, first.Record(t.Context(), "o", "s", "k", "answer"))
	got, err = second.Claim(t.Context(), "o", "s", "k", "f")
	must.NoError(t, err)
	must.Eq(t, chicoryhall.ClaimResult{State: chicoryhall.ClaimDone, Fingerprint: "f", Answer: "answer"}, got)
}

func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	store := &tabletest.Store{}
	first, second := startClaims(t, store), startClaims(t, store)
	_, err := first.Claim(t.Context(), "o", "s", "k", "f")
	must.NoError(t, err)
	must.NoError(t, first.Release(t.Context(), "o", "s", "k"))
	got, err := second.Claim(t.Context(), "o", "s", "k", "f")
	must.NoError(t, err)
	must.Eq(t, chicoryhall.ClaimOurs, got.State)
	must.NoError(t, second.Record(t.Context(), "o", "s", "k", "answer"))
}

func TestClaimThatFailedInAnOutageIsReleasedAfterIt(t *testing.T) {
	store := &tabletest.Store{}
	s := startClaims(t, store)
	store.SetDown(true)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := s.Claim(ctx, "o", "s", "k", "f")
	must.Error(t, err)
	store.SetDown(false)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(10*time.Second), wait.Gap(100*time.Millisecond), wait.BoolFunc(func() bool {
		got, err := s.Claim(t.Context(), "o", "s", "k", "f")
		return err == nil && got.State == chicoryhall.ClaimOurs
	})))
}
