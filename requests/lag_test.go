package requests

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLag checks that delays of this daemon are noticed, and only during the time in question.
func TestLag(t *testing.T) {
	const probe = 250 * time.Millisecond
	// The times of the cases are numbers of milliseconds since the start; at converts them.
	cases := []struct {
		name  string
		ticks []time.Duration
		since time.Duration
		now   time.Duration
		late  bool
	}{
		{"on time", []time.Duration{0, 20, 40, 60, 80, 100}, 40, 100, false},
		{"late during the probe", []time.Duration{0, 20, 40, 200, 220}, 40, 220, true},
		{"late before the probe", []time.Duration{0, 200, 220, 240, 260}, 220, 260, false},
		{"late and not yet measured", []time.Duration{0, 20, 40}, 40, 40 + probe/time.Millisecond, true},
		{"not started", nil, 0, 100, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			at := func(millis time.Duration) time.Time { return start.Add(millis * time.Millisecond) }
			var l lagMonitor
			for _, tick := range c.ticks {
				l.measure(at(tick))
			}
			must.Eq(t, c.late, l.wasLateSince(at(c.since), at(c.now)))
		})
	}
}
