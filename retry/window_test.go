package retry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall/retry"
)

// TestWindowsKeepTheBoundInEverySpan draws requests and retries of several daemons and looks at
// every span. Mutations that it catches: a window that forgets too early, the whole slack for each
// daemon, requests that count too long.
func TestWindowsKeepTheBoundInEverySpan(t *testing.T) {
	const daemons = 3
	terms := retry.SlidingLimits{Window: 2 * time.Second, Ratio: 0.2, Slack: 12}
	type happening struct {
		at    time.Time
		retry bool
	}
	rapid.Check(t, func(t *rapid.T) {
		var all []*retry.SlidingBudgets
		for range daemons {
			all = append(all, retry.NewSlidingBudgets(terms, func() int { return daemons }))
		}
		now := time.Unix(1000, 0)
		var happened []happening
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
			daemon := all[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			if rapid.Bool().Draw(t, "request") {
				daemon.CountRequest("s", now)
				happened = append(happened, happening{at: now})
			} else if daemon.Take("s", now) {
				happened = append(happened, happening{at: now, retry: true})
			}
		}
		for _, last := range happened {
			requests, retries := 0.0, 0.0
			for _, one := range happened {
				if age := last.at.Sub(one.at); age < 0 || age > terms.Window {
					continue
				}
				if one.retry {
					retries++
				} else {
					requests++
				}
			}
			must.LessEq(t, terms.Ratio*requests+terms.Slack, retries)
		}
	})
}

func TestWindowsSpendAgainLater(t *testing.T) {
	windows := retry.NewSlidingBudgets(retry.SlidingLimits{Window: time.Second, Slack: 5}, func() int { return 0 })
	now := time.Unix(1000, 0)
	for range 4 {
		must.True(t, windows.Take("s", now))
	}
	must.False(t, windows.Take("s", now))
	must.True(t, windows.Take("other", now))
	must.False(t, windows.Take("s", now.Add(-time.Hour)))
	must.True(t, windows.Take("s", now.Add(2*time.Second)))
	for range 10 {
		windows.CountRequest("s", now.Add(time.Hour))
	}
	must.True(t, windows.Take("s", now.Add(time.Hour)))
}

// TestWindowsCountForOneWindow looks at a request and a retry at the end of their window, which
// slides in parts of a twentieth: requests count at most the window, retries at least.
func TestWindowsCountForOneWindow(t *testing.T) {
	const part = 100 * time.Millisecond
	begin := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		terms retry.SlidingLimits
		// first happens at the beginning, as a request or as a retry.
		retried bool
		later   time.Duration
		taken   bool
	}{
		{"a request that counts", retry.SlidingLimits{Window: 20 * part, Ratio: 1}, false, 20*part - 1, true},
		{"a request that is too old", retry.SlidingLimits{Window: 20 * part, Ratio: 1}, false, 20 * part, false},
		{"a retry that counts", retry.SlidingLimits{Window: 20 * part, Slack: 1.25}, true, 21*part - 1, false},
		{"a retry that is too old", retry.SlidingLimits{Window: 20 * part, Slack: 1.25}, true, 21 * part, true},
		{"long after a request", retry.SlidingLimits{Window: 20 * part, Ratio: 1}, false, 1000 * part, false},
		{"long after a retry", retry.SlidingLimits{Window: 20 * part, Slack: 1.25}, true, 1000 * part, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			windows := retry.NewSlidingBudgets(c.terms, func() int { return 1 })
			if c.retried {
				must.True(t, windows.Take("s", begin))
			} else {
				windows.CountRequest("s", begin)
			}
			must.Eq(t, c.taken, windows.Take("s", begin.Add(c.later)))
		})
	}
}
