package retry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall/retry"
)

// TestSlidingBudgetsHoldInAnyWindow applies random requests and retries of several daemons and checks the
// limit in every window. It fails if old requests count for too long, old retries not long enough, or each
// daemon uses the whole slack.
func TestSlidingBudgetsHoldInAnyWindow(t *testing.T) {
	const daemons = 3
	limits := retry.SlidingLimits{Window: 2 * time.Second, Ratio: 0.2, Slack: 12}
	type call struct {
		at    time.Time
		retry bool
	}
	rapid.Check(t, func(t *rapid.T) {
		var budgets []*retry.SlidingBudgets
		for range daemons {
			budgets = append(budgets, retry.NewSlidingBudgets(limits, time.Time{}, func() int { return daemons }))
		}
		now := time.Unix(1000, 0)
		var events []call
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
			daemon := budgets[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			if rapid.Bool().Draw(t, "request") {
				daemon.CountRequest("s", now)
				events = append(events, call{at: now})
				continue
			}
			isLeft := daemon.IsLeft("s", now)
			taken := daemon.Take("s", now)
			must.Eq(t, isLeft, taken)
			if taken {
				events = append(events, call{at: now, retry: true})
			}
		}
		for _, last := range events {
			requests, retries := 0.0, 0.0
			for _, e := range events {
				if age := last.at.Sub(e.at); age < 0 || age > limits.Window {
					continue
				}
				if e.retry {
					retries++
				} else {
					requests++
				}
			}
			must.LessEq(t, limits.Ratio*requests+limits.Slack, retries)
		}
	})
}

// TestRestartedDaemonsKeepTheSharedLimit lets all daemons spend their retries, restart, and spend what they have then.
func TestRestartedDaemonsKeepTheSharedLimit(t *testing.T) {
	for _, daemons := range []int{1, 7, 89} {
		limits := retry.SlidingLimits{Window: 10 * time.Second, Ratio: 0.2, Slack: 4 * float64(daemons)}
		start := time.Unix(1000, 0)
		retries := 0
		for _, startedAt := range []time.Time{start.Add(-time.Hour), start.Add(time.Second)} {
			for range daemons {
				budgets := retry.NewSlidingBudgets(limits, startedAt, func() int { return daemons })
				for budgets.Take("s", start.Add(2*time.Second)) {
					retries++
				}
			}
		}
		must.LessEq(t, limits.Slack, float64(retries), must.Sprint(daemons))
	}
}

// TestSlidingBudgetsRecover spends the slack and checks when retries are allowed again. A slack of 5 allows 4
// retries, because of slackShare; a count of 0 daemons counts as 1. A time that lies before the newest bucket does
// not bring the window back to an earlier state.
func TestSlidingBudgetsRecover(t *testing.T) {
	budgets := retry.NewSlidingBudgets(retry.SlidingLimits{Window: time.Second, Slack: 5}, time.Time{}, func() int { return 0 })
	now := time.Unix(1000, 0)
	for range 4 {
		must.True(t, budgets.Take("s", now))
	}
	must.False(t, budgets.Take("s", now))
	must.True(t, budgets.Take("other", now))
	must.False(t, budgets.Take("s", now.Add(-time.Hour)))
	must.True(t, budgets.Take("s", now.Add(2*time.Second)))
	for range 10 {
		budgets.CountRequest("s", now.Add(time.Hour))
	}
	must.True(t, budgets.Take("s", now.Add(time.Hour)))
}

// TestSlidingBudgetsCountForOneWindow checks the end of the window, which has 20 buckets: a request counts for
// at most 20 buckets, a retry for at least 20 and at most 21. A slack of 1.25 allows one retry, because of
// slackShare.
func TestSlidingBudgetsCountForOneWindow(t *testing.T) {
	const bucket = 100 * time.Millisecond
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name   string
		limits retry.SlidingLimits
		// isRetry makes the first call, at the start, a retry instead of a request.
		isRetry bool
		later   time.Duration
		taken   bool
	}{
		{"a request that counts", retry.SlidingLimits{Window: 20 * bucket, Ratio: 1}, false, 20*bucket - 1, true},
		{"a request that is too old", retry.SlidingLimits{Window: 20 * bucket, Ratio: 1}, false, 20 * bucket, false},
		{"a retry that counts", retry.SlidingLimits{Window: 20 * bucket, Slack: 1.25}, true, 21*bucket - 1, false},
		{"a retry that is too old", retry.SlidingLimits{Window: 20 * bucket, Slack: 1.25}, true, 21 * bucket, true},
		{"long after a request", retry.SlidingLimits{Window: 20 * bucket, Ratio: 1}, false, 1000 * bucket, false},
		{"long after a retry", retry.SlidingLimits{Window: 20 * bucket, Slack: 1.25}, true, 1000 * bucket, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			budgets := retry.NewSlidingBudgets(c.limits, time.Time{}, func() int { return 1 })
			if c.isRetry {
				must.True(t, budgets.Take("s", start))
			} else {
				budgets.CountRequest("s", start)
			}
			must.Eq(t, c.taken, budgets.Take("s", start.Add(c.later)))
		})
	}
}

// TestSlackIsNotSpentWhileDaemonsAreUnknown guards against a daemon that started while the store was away, counted itself only, and took the whole
// slack of all daemons.
func TestSlackIsNotSpentWhileDaemonsAreUnknown(t *testing.T) {
	known := false
	now := time.Unix(1000, 0)
	budgets := retry.NewSlidingBudgets(retry.SlidingLimits{Window: 10 * time.Second, Ratio: 0.2, Slack: 100}, now.Add(-time.Hour), func() int { return 1 })
	budgets.SetCountKnown(func() bool { return known })
	must.False(t, budgets.Take("s", now))
	for range 10 {
		budgets.CountRequest("s", now)
	}
	must.True(t, budgets.Take("s", now), must.Sprint("the ratio of its own requests"))
	must.True(t, budgets.Take("s", now))
	must.False(t, budgets.Take("s", now))
	known = true
	must.True(t, budgets.Take("s", now))
}
