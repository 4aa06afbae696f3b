package passthrough_test

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/passthrough"
)

// fakeProber is a passthrough.Prober that finds the same result each time.
type fakeProber struct {
	mu     sync.Mutex
	result passthrough.ProbeResult
	probed []chicoryhall.EndpointID
	// endsOnce is set if only the first probe ends.
	endsOnce bool
}

func (p *fakeProber) Probe(hops []chicoryhall.Hop, done func(passthrough.ProbeResult)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, hop := range hops {
		p.probed = append(p.probed, hop.Engine)
	}
	if result := p.result; !p.endsOnce || len(p.probed) == len(hops) {
		go done(result)
	}
}

func (p *fakeProber) all() []chicoryhall.EndpointID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.probed)
}

// TestStreamLeavesUnreachableStageEarly lets a stream fall silent. It must go on elsewhere before it counts as stalled, but
// only if an endpoint of the route is known to be out of reach.
func TestStreamLeavesUnreachableStageEarly(t *testing.T) {
	route := []chicoryhall.EndpointID{"e0", "stage1", "stage2"}
	cases := []struct {
		name    string
		target  string
		result  passthrough.ProbeResult
		isEarly bool
		probed  []chicoryhall.EndpointID
	}{
		{"a stage refuses connections", "/stream/a", passthrough.ProbeResult{Refused: []chicoryhall.EndpointID{"stage1"}}, true, route},
		{"a stage does not answer", "/stream/a", passthrough.ProbeResult{Silent: []chicoryhall.EndpointID{"stage2"}}, true, route},
		{"no stage answers", "/stream/a", passthrough.ProbeResult{Silent: route}, false, route},
		{"all answer", "/stream/a", passthrough.ProbeResult{}, false, route},
		{"not resumable", "/once/a", passthrough.ProbeResult{Refused: []chicoryhall.EndpointID{"stage1"}}, false, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := startChain(t)
			w.prober.result = c.result
			startedAt := time.Now()
			got := w.ask(t, requestText("POST", c.target, "1", "x"))
			took := time.Since(startedAt)
			must.Eq(t, c.isEarly, took < chainStallTime, must.Sprintf("took %s", took))
			must.Eq(t, c.probed, w.prober.all())
			must.True(t, strings.HasPrefix(got.body, eventText(1)+eventText(2)+eventText(3)))
			if c.isEarly {
				must.NoError(t, got.err)
				must.True(t, strings.HasSuffix(got.body, eventText(6)))
				must.SliceContains(t, w.endpoints.all(), string(slices.Concat(c.result.Refused, c.result.Silent)[0])+" "+
					observationOf(c.result).String())
			}
			w.waitIdle(t)
		})
	}
}

// TestUnreachableStageEndsAllItsStreams lets two streams of one route fall silent, of which only one learns from a probe
// that a stage is gone.
func TestUnreachableStageEndsAllItsStreams(t *testing.T) {
	w := startChain(t)
	w.prober.result, w.prober.endsOnce = passthrough.ProbeResult{Refused: []chicoryhall.EndpointID{"stage1"}}, true
	startedAt := time.Now()
	var callers sync.WaitGroup
	for _, id := range []string{"1", "2"} {
		callers.Go(func() {
			got := w.ask(t, requestText("POST", "/stream/a", id, "x"))
			test.NoError(t, got.err)
			test.True(t, strings.HasSuffix(got.body, eventText(6)))
		})
	}
	callers.Wait()
	must.Less(t, chainStallTime, time.Since(startedAt))
	w.waitIdle(t)
}

// chainStallTime is the time after which a silent stream of startChain counts as stalled: gapStallFactor times the target
// gap of the rules.
const chainStallTime = 450 * time.Millisecond

// startChain starts a server with a route of three stages. A stream falls silent after three events, and ends after six if
// it is resumed.
func startChain(t *testing.T) *testServer {
	t.Helper()
	router := routerTo(newEndpoint(t, func(conn net.Conn, number int, request *http.Request) bool {
		if request.Header.Get("Last") != "" {
			return streamEvents(6, "", endWhole)(conn, number, request)
		}
		return streamEvents(3, "", endSilent)(conn, number, request)
	}))
	router.later = []chicoryhall.Hop{{Engine: "stage1", Address: "a"}, {Engine: "stage2", Address: "b"}}
	return startRoutedServer(t, 0, testRules(), router)
}

// observationOf returns what a server must observe of the endpoint in a probe result.
func observationOf(result passthrough.ProbeResult) chicoryhall.Observation {
	if len(result.Refused) > 0 {
		return chicoryhall.ObservedRefusedConnection
	}
	return chicoryhall.ObservedSilence
}
