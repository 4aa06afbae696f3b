package passthrough_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/passthrough"
	"chicoryhall.example/chicoryhall/routing"
	"chicoryhall.example/chicoryhall/timer"
)

const (
	// maxHeldUp is the longest time for which a small request may remain unanswered.
	maxHeldUp = 200 * time.Millisecond
	// The size of a large rule set.
	manyRules, manyServices, manyOrganisations, credentialsEach = 5000, 50, 200, 20
)

// largeRules returns testRules with many more rules, services and organisations.
func largeRules(version int64) *chicoryhall.RuleSet {
	set := testRules()
	set.Version = version
	for i := range manyServices {
		set.Documents = append(set.Documents, &chicoryhall.Document{Service: serviceNumber(i)})
	}
	set.Documents = append(set.Documents, &chicoryhall.Document{Service: "s"})
	for i := range manyRules {
		rule := set.Rules[i%len(set.Rules)]
		rule.Name, rule.Prefix = fmt.Sprint(i), fmt.Sprintf("/many/%d/", i)
		rule.Targets = []chicoryhall.RuleTarget{{Service: serviceNumber(i % manyServices), Weight: 1}}
		set.Rules = append(set.Rules, rule)
	}
	for i := range manyOrganisations {
		organisation := chicoryhall.RuleOrganisation{Name: chicoryhall.Organisation(fmt.Sprint(i)), Priority: i % 4, HasPriority: true}
		for k := range credentialsEach {
			organisation.Credentials = append(organisation.Credentials, fmt.Sprintf("k%d-%d", i, k))
		}
		set.Organisations = append(set.Organisations, organisation)
	}
	return set
}

func serviceNumber(i int) chicoryhall.ServiceName {
	return chicoryhall.ServiceName(fmt.Sprintf("many%d", i))
}

// fakeLister is a routing.EndpointLister without endpoints, whose list a test changes.
type fakeLister struct {
	changed func(chicoryhall.ServiceName)
}

func (l *fakeLister) Endpoints(chicoryhall.ServiceName) []chicoryhall.DocumentEndpoint { return nil }

func (l *fakeLister) SubscribeList(changed func(chicoryhall.ServiceName)) { l.changed = changed }

// longestAnswer returns the longest time that a small request took while function ran.
func (s *testServer) longestAnswer(t *testing.T, function func()) time.Duration {
	t.Helper()
	conn, reader := s.dial(t)
	must.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
	var ended atomic.Bool
	var running sync.WaitGroup
	running.Go(func() {
		function()
		ended.Store(true)
	})
	defer running.Wait()
	longest := time.Duration(0)
	for i := 0; !ended.Load(); i++ {
		startedAt := time.Now()
		must.True(t, send(conn, requestText("POST", "/unsafe/a", fmt.Sprint(i), "x")))
		got := readAnswer(reader)
		must.NoError(t, got.err)
		must.Eq(t, 200, got.status)
		longest = max(longest, time.Since(startedAt))
		time.Sleep(time.Millisecond)
	}
	return longest
}

// TestLargeRulesDoNotHoldUpCallers guards against requests that wait for the application of rules.
func TestLargeRulesDoNotHoldUpCallers(t *testing.T) {
	lister := &fakeLister{}
	cases := []struct {
		name   string
		change func(w *testServer)
	}{
		{"new rules", func(w *testServer) {
			for version := range int64(3) {
				w.rules.Apply(largeRules(version + 2))
			}
		}},
		{"endpoints of each service change", func(w *testServer) {
			w.rules.Apply(largeRules(2))
			for i := range manyServices {
				lister.changed(serviceNumber(i))
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := startServer(t, nil, newEndpoint(t, answerWith("whole")))
			w.documents = routing.NewDocuments(w.rules, lister)
			first := testRules()
			first.Documents = []*chicoryhall.Document{{Service: "s"}}
			w.rules.Apply(first)
			startedAt := time.Now()
			longest := w.longestAnswer(t, func() { c.change(w) })
			t.Logf("the longest answer took %s, the change %s", longest, time.Since(startedAt))
			must.Less(t, maxHeldUp, longest)
		})
	}
}

// blockedWriter blocks each write until it is released, like a pipe that nobody reads.
type blockedWriter struct{ released chan struct{} }

func (b blockedWriter) Write(lines []byte) (int, error) {
	<-b.released
	return len(lines), nil
}

// TestFullLogPipeDoesNotHoldUpCallers guards against requests that wait for the log.
func TestFullLogPipeDoesNotHoldUpCallers(t *testing.T) {
	out := blockedWriter{released: make(chan struct{})}
	clock := timer.New()
	bounded := event.NewBoundedWriter(out, clock)
	var running sync.WaitGroup
	running.Go(func() { _ = clock.Serve(t.Context()) })
	running.Go(func() { _ = bounded.Serve(t.Context()) })
	t.Cleanup(running.Wait)
	t.Cleanup(func() { close(out.released) })
	configure := func(_ *testServer, config *passthrough.Config) {
		config.Log = event.NewLogger(bounded, "test", log.InfoLevel)
	}
	w := startConfiguredServer(t, 0, testRules(), routerTo(newEndpoint(t, answerWith("whole"))), configure)
	longest := w.longestAnswer(t, func() {
		for bounded.Dropped() == 0 {
			time.Sleep(time.Millisecond)
		}
	})
	t.Logf("the longest answer took %s", longest)
	must.Less(t, maxHeldUp, longest)
}

// TestEndlessAnswerDoesNotHoldUpOthers guards against an event loop that reads from one connection only.
func TestEndlessAnswerDoesNotHoldUpOthers(t *testing.T) {
	var closed atomic.Bool
	without := endless(beginHead("200 OK", "\r\n"), "x", &closed)
	w := startServer(t, testRules(), newEndpoint(t, func(conn net.Conn, number int, request *http.Request) bool {
		if request.URL.Path == "/once/endless" {
			return without(conn, number, request)
		}
		return send(conn, wholeAnswer(request, "whole"))
	}))
	conn, reader := w.dial(t)
	must.True(t, send(conn, requestText("POST", "/once/endless", "endless", "x")))
	longest := w.longestAnswer(t, func() { _, _ = io.Copy(io.Discard, reader) })
	t.Logf("the longest answer took %s", longest)
	must.Less(t, maxHeldUp, longest)
}

// TestBytesBehindRequestDoNotHoldUpOthers guards against an event loop that copies what it buffers again with each read.
func TestBytesBehindRequestDoNotHoldUpOthers(t *testing.T) {
	set := testRules()
	set.Limits.MaxBodyBytes = 32 << 20
	w := startServer(t, set, newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		if request.URL.Path == "/once/slow" {
			return endSilent(conn)
		}
		return send(conn, wholeAnswer(request, "whole"))
	}))
	conn, _ := w.dial(t)
	must.True(t, send(conn, requestText("POST", "/once/slow", "slow", "x")))
	w.logs.await(t, "event=2046", "request=slow")
	longest := w.longestAnswer(t, func() {
		_ = send(conn, requestText("POST", "/once/slow", "behind", strings.Repeat("b", 30<<20)))
	})
	t.Logf("the longest answer took %s", longest)
	must.Less(t, maxHeldUp, longest)
}
