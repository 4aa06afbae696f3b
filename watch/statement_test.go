package watch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
)

// witness is a change of the list that contradicts what the endpoint "e" has said.

type witness struct {
	name  string
	apply func(w *listedFixture)
}

// startedAt returns a listing of "e" whose process was started some time from now.
func (w *listedFixture) startedAt(after time.Duration) chicoryhall.Listing {
	again := listing("e")
	again.Incarnation = w.clock.Now().Add(after).UnixMilli()
	return again
}

func witnesses() []witness {
	return []witness{
		{"its entry changes", func(w *listedFixture) {
			again := listing("e")
			again.Slots++
			w.Update(changed(again))
		}},
		{"its entry vanishes for a moment", func(w *listedFixture) {
			w.Update(removed("e"))
			w.Update(changed(listing("e")))
		}},
		{"its entry vanishes while a request runs there", func(w *listedFixture) {
			w.Begin("e")
			w.Update(removed("e"))
			w.End("e")
			w.clock.Advance(time.Second)
			w.Update(changed(listing("e")))
		}},
		{"an older list lacks it", func(w *listedFixture) {
			w.Restored()
			w.Replace(nil)
			w.clock.Advance(3 * time.Second)
			w.Replace([]chicoryhall.Listing{listing("e")})
		}},
		{"the entry of its process comes late", func(w *listedFixture) { w.Update(changed(w.startedAt(-time.Second))) }},
	}
}

// TestPauseOutlivesTheList guards against requests to an endpoint that has asked for none because the list changes.
func TestPauseOutlivesTheList(t *testing.T) {
	elsewhere := listing("e")
	elsewhere.Address = "10.0.0.2:1"
	cases := append(witnesses(),
		witness{"nothing", func(*listedFixture) {}},
		witness{"it makes progress", func(w *listedFixture) { w.Observe("e", chicoryhall.ObservedProgress) }},
		witness{"it asks for a shorter pause", func(w *listedFixture) { w.Pause("e", w.clock.Now().Add(time.Second), "r2") }},
		witness{"it starts again", func(w *listedFixture) { w.Update(changed(w.startedAt(time.Second))) }},
		witness{"it starts again elsewhere", func(w *listedFixture) { w.Update(changed(elsewhere)) }},
		witness{"it was not listed when it asked", func(w *listedFixture) {
			w.Update(removed("e"))
			w.Pause("e", w.clock.Now().Add(5*time.Second), "r2")
			w.Update(changed(listing("e")))
		}},
	)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newListedFixture()
			w.Replace([]chicoryhall.Listing{listing("e")})
			begun := w.clock.Now()
			w.Pause("e", begun.Add(5*time.Second), "r")
			c.apply(w)
			w.clock.Advance(begun.Add(5*time.Second - time.Millisecond).Sub(w.clock.Now()))
			must.True(t, w.View("e").Paused && w.View("e").Full)
			must.Eq(t, 1, w.PausedCount())
			w.clock.Advance(time.Millisecond)
			must.False(t, w.View("e").Paused)
			must.Zero(t, w.PausedCount())
		})
	}
}

// TestPauseHoldsForTheNextEndpointAtTheAddress guards against requests to an endpoint that has asked for none and started again
// under another ID.
func TestPauseHoldsForTheNextEndpointAtTheAddress(t *testing.T) {
	cases := []struct {
		name   string
		change func(next *chicoryhall.Listing)
		after  time.Duration
		paused bool
	}{
		{"same service", func(*chicoryhall.Listing) {}, 0, true},
		{"another service", func(next *chicoryhall.Listing) { next.Service = "other" }, 0, false},
		{"another address", func(next *chicoryhall.Listing) { next.Address = "10.0.0.2:1" }, 0, false},
		{"after the pause", func(*chicoryhall.Listing) {}, 5 * time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newListedFixture()
			w.Replace([]chicoryhall.Listing{listing("e")})
			w.Pause("e", w.clock.Now().Add(5*time.Second), "r")
			w.clock.Advance(c.after)
			next := listing("next")
			c.change(&next)
			w.Replace([]chicoryhall.Listing{next})
			must.Eq(t, c.paused, w.View("next").Paused)
		})
	}
}

// TestLeavingOutlivesTheList guards against requests to an endpoint that has said that it leaves because the list changes.
func TestLeavingOutlivesTheList(t *testing.T) {
	for _, c := range witnesses() {
		t.Run(c.name, func(t *testing.T) {
			w := newListedFixture()
			w.Replace([]chicoryhall.Listing{listing("e")})
			w.Observe("e", chicoryhall.ObservedLeaving)
			c.apply(w)
			must.Eq(t, chicoryhall.EndpointLeaving, w.state("e"))
		})
	}
}

// TestLeavingEnds checks what ends it: a process that was started later, and the end of a doubt.
func TestLeavingEnds(t *testing.T) {
	cases := []struct {
		name    string
		started time.Duration
		after   time.Duration
		want    chicoryhall.EndpointState
	}{
		{"started later", time.Millisecond, 0, chicoryhall.EndpointReady},
		{"started before, lately listed", -time.Millisecond, 29 * time.Second, chicoryhall.EndpointLeaving},
		{"started before, listed for long", -time.Millisecond, 30 * time.Second, chicoryhall.EndpointReady},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newListedFixture()
			w.Replace([]chicoryhall.Listing{listing("e")})
			w.Observe("e", chicoryhall.ObservedLeaving)
			w.Update(changed(w.startedAt(c.started)))
			w.clock.Advance(c.after)
			must.Eq(t, c.want, w.state("e"))
		})
	}
}

// TestAllPaused checks when callers can be told the end of the first pause.
func TestAllPaused(t *testing.T) {
	cases := []struct {
		name   string
		pauses []time.Duration // of each endpoint; 0 for none
		want   time.Duration   // 0 if not all are paused
	}{
		{"no endpoints", nil, 0},
		{"none paused", []time.Duration{0, 0}, 0},
		{"one paused", []time.Duration{time.Second, 0}, 0},
		{"all paused", []time.Duration{4 * time.Second, time.Second, 2 * time.Second}, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newListedFixture()
			var listings []chicoryhall.Listing
			for i := range c.pauses {
				listings = append(listings, listing(chicoryhall.EndpointID('a'+rune(i))))
				listings[i].Address = string(listings[i].ID)
			}
			w.Replace(listings)
			for i, pause := range c.pauses {
				if pause > 0 {
					w.Pause(listings[i].ID, w.clock.Now().Add(pause), "r")
				}
			}
			until, all := w.AllPaused("draft")
			must.Eq(t, c.want > 0, all)
			must.True(t, !all || until.Equal(w.clock.Now().Add(c.want)))
		})
	}
}

// TestAnswersSayWhatTheirEndpointWants checks what answers change.
func TestAnswersSayWhatTheirEndpointWants(t *testing.T) {
	cases := []struct {
		name    string
		headers chicoryhall.AnswerHeaders
		state   chicoryhall.EndpointState
		paused  bool
	}{
		{"nothing said", chicoryhall.AnswerHeaders{}, chicoryhall.EndpointReady, false},
		{"leaving", chicoryhall.AnswerHeaders{Leaving: true}, chicoryhall.EndpointLeaving, false},
		{"a pause", chicoryhall.AnswerHeaders{RetryAfter: time.Second}, chicoryhall.EndpointReady, true},
		{"both", chicoryhall.AnswerHeaders{Leaving: true, RetryAfter: time.Second}, chicoryhall.EndpointLeaving, true},
		{"of another endpoint", chicoryhall.AnswerHeaders{Misdirected: true, Leaving: true, RetryAfter: time.Second}, chicoryhall.EndpointReady, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newListedFixture()
			w.Replace([]chicoryhall.Listing{listing("e")})
			w.RecordAnswer("e", c.headers)
			must.Eq(t, c.state, w.state("e"))
			must.Eq(t, c.paused, w.View("e").Paused)
		})
	}
}
