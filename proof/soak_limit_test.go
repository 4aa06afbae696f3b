package proof

import (
	"testing"
	"time"
)

const (
	// toldTime is the time in which all daemons that send to an endpoint have had an answer with its limit, and half a
	// second more. The requests of a daemon count only from then on.
	toldTime = time.Second
	// limitWindow is the time in which it may get limitFactor times what the limit allows, and limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitTestTime is how long endpoints name a limit.
	limitTestTime = 12 * time.Second
)

// requestArrival is an arrival of a request at an endpoint, as recorded by the simulated platform.
type requestArrival struct {
	Engine   string `json:"engine"`
	Address  string `json:"address"`
	Born     int64  `json:"born"`
	From     string `json:"from"`
	AtMillis int64  `json:"atMillis"`
}

// requestTimes returns when requests arrived at each endpoint, as Unix times in milliseconds.
func (w *soakPlatform) requestTimes(t *testing.T) map[string][]int64 {
	t.Helper()
	times := make(map[string][]int64)
	for _, one := range controlList[requestArrival](t, w, "/requests") {
		times[one.Engine] = append(times[one.Engine], one.AtMillis)
	}
	return times
}

// countBetween counts the times from one up to but not including another.
func countBetween(times []int64, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if at >= from.UnixMilli() && at < to.UnixMilli() {
			count++
		}
	}
	return count
}

// mostInWindow returns the largest number of times in a limitWindow between two times.
func mostInWindow(times []int64, from, to time.Time) int {
	most := 0
	for _, at := range times {
		begin := time.UnixMilli(at)
		if end := begin.Add(limitWindow); !begin.Before(from) && !end.After(to) {
			most = max(most, countBetween(times, begin, end))
		}
	}
	return most
}

// busiest returns the endpoint that got the most requests.
func busiest(times map[string][]int64) string {
	found := ""
	for id, one := range times {
		if len(one) > len(times[found]) {
			found = id
		}
	}
	return found
}

// TestNamedLimitIsKept lets endpoints name limits in their answers under a load that is far higher, and then none again.
func TestNamedLimitIsKept(t *testing.T) {
	stream, plain := soakLayout{domains: []string{"x", "y", "z"}, daemons: 2, engines: 6}, smallService(3*time.Second, false)
	manyDaemons := stream
	manyDaemons.daemons = 10
	cases := []struct {
		name   string
		layout soakLayout
		kind   soakKind
		limit  string
		rate   float64
		// all makes all endpoints name the limit, not only the busiest one.
		all bool
	}{
		{"engine", stream, streamKind, "3", 3, false},
		{"engine, less than one in a window", stream, streamKind, "0.2", 0.2, false},
		{"engine, many daemons", manyDaemons, streamKind, "3.5", 3.5, false},
		{"plain service", plain, safeKind, "2.5", 2.5, false},
		{"all of a plain service", plain, safeKind, "4", 4, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newSoakPlatform(t, c.layout)
			time.Sleep(3 * time.Second) // Until the engines have loaded their layers.
			cs := startCallersOf(w, 18, c.kind)
			time.Sleep(4 * time.Second)
			limited := []string{busiest(w.requestTimes(t))}
			if c.all {
				limited = w.engines
			}
			for _, id := range limited {
				postControl(w.control, "/engines/"+id+"/faults", map[string]any{"limit": c.limit})
			}
			named := time.Now()
			time.Sleep(limitTestTime)
			ended := time.Now()
			for _, id := range limited {
				postControl(w.control, "/engines/"+id+"/faults", map[string]any{})
			}
			time.Sleep(2 * quietTime)
			checkResults(t, w, cs.stop(), ended.Add(quietTime))
			allowed := int(limitFactor*c.rate*limitWindow.Seconds()) + limitSlack
			for _, id := range limited {
				times := w.requestTimes(t)[id]
				before := countBetween(times, named.Add(-limitWindow), named)
				most := mostInWindow(times, named.Add(toldTime), ended)
				after := countBetween(times, ended.Add(2*quietTime-limitWindow), ended.Add(2*quietTime))
				t.Logf("%s: requests in 4 s: %d before, at most %d with the limit, %d after it", id, before, most, after)
				if most > allowed {
					t.Errorf("%s named a limit of %s a second and got %d requests in 4 s; allowed %d", id, c.limit, most, allowed)
				}
				if most == 0 || after < before/3 {
					t.Errorf("%s got %d requests with the limit, and %d of %d once it had ended", id, most, after, before)
				}
			}
			if t.Failed() {
				t.Logf("logs: %s", w.keepLogs(t))
			}
		})
	}
}
