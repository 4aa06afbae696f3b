package watch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestRequestTimeIsLearned(t *testing.T) {
	cases := []struct {
		name   string
		time   time.Duration
		every  time.Duration
		count  int
		within time.Duration
	}{
		{"short and rare", 500 * time.Millisecond, time.Second, 30, 50 * time.Millisecond},
		{"long and many", 3 * time.Second, 100 * time.Millisecond, 400, 200 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &requestTime{}
			begin := time.Unix(1000, 0)
			must.Eq(t, defaultRequestTime, s.mean())
			ended := 0
			for now, step := begin, 0; ended < c.count; step++ {
				now = begin.Add(time.Duration(step) * 10 * time.Millisecond)
				if now.Sub(begin)%c.every == 0 {
					s.begin(now)
				}
				if passed := now.Sub(begin) - c.time; passed >= 0 && passed%c.every == 0 {
					s.end(now)
					ended++
				}
			}
			must.InDelta(t, c.time.Seconds(), s.mean().Seconds(), c.within.Seconds())
		})
	}
}
