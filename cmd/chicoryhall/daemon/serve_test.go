package daemon_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/caller"
)

// TestAnswersWhileAnEngineFails checks that requests are answered completely although an engine fails while they run.
func TestAnswersWhileAnEngineFails(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	const callers, length = 16, 100
	cases := []struct{ name, fault string }{
		{"no fault", ""},
		{"killed", "crash"},
		{"frozen", "freeze"},
		{"silent connections", "silence"},
		{"leaving", "leave"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			engines := startEngines(t)
			d := startDaemon(t, nil, documentText("pipeline", engines))
			replies := make([]reply, callers)
			var group sync.WaitGroup
			for i := range replies {
				group.Go(func() {
					replies[i] = newCaller(d).submit(context.Background(), query(promptOf(i), length), 0)
				})
			}
			if c.fault != "" {
				time.Sleep(300 * time.Millisecond)
				control(t, engines[1].control, c.fault)
			}
			group.Wait()
			for i, r := range replies {
				mustBeComplete(t, r, promptOf(i), length)
			}
		})
	}
}

// TestResume closes a caller's connection in the middle of an answer and reads the rest over a new one.
func TestResume(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	const length, cutAfter = 60, 20
	d := startDaemon(t, nil, documentText("pipeline", startEngines(t)))
	client := newCaller(d)
	ctx, cancel := context.WithCancel(context.Background())
	first := client.submit(ctx, query(promptOf(0), length), cutAfter)
	cancel()
	must.NoError(t, first.err)
	must.Eq(t, cutAfter, len(first.tokens))
	second := client.resume(context.Background(), first.id, first.eventIDs[cutAfter-1])
	second.tokens = append(first.tokens, second.tokens...)
	second.positions = append(first.positions, second.positions...)
	mustBeComplete(t, second, promptOf(0), length)
}

// TestSameKeyIsOneRequest sends two requests with the same idempotency key concurrently, which must be run as one, then
// a different request with that key, which must be refused.
func TestSameKeyIsOneRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	d := startDaemon(t, nil, documentText("pipeline", startEngines(t)))
	var group sync.WaitGroup
	var replies [2]reply
	for i := range replies {
		group.Go(func() {
			replies[i] = newCaller(d).submit(context.Background(), query(promptOf(0), 30), 0, caller.HeaderIdempotencyKey, "k1")
		})
	}
	group.Wait()
	for _, r := range replies {
		mustBeComplete(t, r, promptOf(0), 30)
	}
	must.Eq(t, replies[0].id, replies[1].id)
	must.Eq(t, replies[0].tokens, replies[1].tokens)
	other := newCaller(d).submit(context.Background(), query(promptOf(1), 30), 0, caller.HeaderIdempotencyKey, "k1")
	must.Eq(t, http.StatusUnprocessableEntity, other.status)
	must.Eq(t, caller.HeaderIdempotencyKey, other.problem.Field)
}

// TestFetchLater submits a request asynchronously and fetches its answer later.
func TestFetchLater(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	d := startDaemons(t, 2, nil, documentText("pipeline", startEngines(t)))[0]
	client := newCaller(d)
	accepted := client.submit(context.Background(), query(promptOf(0), 30), 0, "Prefer", caller.PreferAsync)
	must.Eq(t, http.StatusAccepted, accepted.status)
	path := accepted.headers.Get("Location")
	must.Eq(t, "/v1/requests/"+string(accepted.id), path)
	var fetched reply
	waitFor(t, "the answer", func() bool {
		fetched = client.do(context.Background(), http.MethodGet, path, nil, 0)
		return fetched.status == http.StatusOK
	})
	must.Eq(t, chicoryhall.OutcomeAnswered, fetched.answer.Outcome)
	fetched.tokens, fetched.complete = fetched.answer.Tokens, true
	mustBeComplete(t, fetched, promptOf(0), 30)
}

// TestUnreachableEnginesGiveNotRun submits a request for a model none of whose engines can be reached.
func TestUnreachableEnginesGiveNotRun(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	endpoints := []testEndpoint{{id: "e0", address: freeAddress(t), from: 0, to: testLayers}}
	d := startDaemon(t, nil, documentText("pipeline", endpoints))
	r := newCaller(d).submit(context.Background(), query(promptOf(0), 30), 0)
	must.NoError(t, r.err)
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.Eq(t, chicoryhall.OutcomeNotRun, r.problem.Outcome)
	must.NotEq(t, "", r.headers.Get("Retry-After"))
}

// TestDeadline submits a request that cannot finish before its deadline. If it has started, its outcome must be unknown,
// not "not run".
func TestDeadline(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	d := startDaemon(t, nil, documentText("pipeline", startEngines(t)))
	r := newCaller(d).submit(context.Background(), query(promptOf(0), 2000), 0, caller.HeaderRequestTimeout, "400ms")
	must.NoError(t, r.err)
	must.NotNil(t, r.problem)
	if len(r.tokens) > 0 {
		must.Eq(t, chicoryhall.OutcomeUnknown, r.problem.Outcome)
	}
}

// TestGracefulShutdown stops the daemon in the middle of an answer, which must still be completed while new requests are refused.
func TestGracefulShutdown(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	const length = 100
	d := startDaemon(t, nil, documentText("pipeline", startEngines(t)))
	var group sync.WaitGroup
	var running reply
	group.Go(func() { running = newCaller(d).submit(context.Background(), query(promptOf(0), length), 0) })
	time.Sleep(200 * time.Millisecond)
	var stopErr error
	group.Go(func() { stopErr = d.terminate(t) })
	waitFor(t, "the daemon to be not ready", func() bool { return statusOf(d.callers, "/readyz") == http.StatusServiceUnavailable })
	refused := newCaller(d).submit(context.Background(), query(promptOf(1), length), 0)
	must.Eq(t, http.StatusServiceUnavailable, refused.status)
	must.Eq(t, chicoryhall.OutcomeNotRun, refused.problem.Outcome)
	group.Wait()
	must.NoError(t, stopErr)
	mustBeComplete(t, running, promptOf(0), length)
}

// TestRefusals sends invalid requests. The daemon must refuse each with the name of the invalid field and stay up.
func TestRefusals(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	d := startDaemon(t, nil, documentText("pipeline", startEngines(t)))
	cases := []struct {
		name    string
		method  string
		path    string
		body    string
		headers []string
		status  int
		field   string
	}{
		{"not JSON", "POST", requestsPath, `{"class`, nil, 400, "body"},
		{"two values", "POST", requestsPath, `{"class":"query","prompt":"a","maxTokens":1}{}`, nil, 400, "body"},
		{"unknown field", "POST", requestsPath, `{"class":"query","prompt":"a","maxTokens":1,"x":1}`, nil, 400, "body"},
		{"no class", "POST", requestsPath, `{"prompt":"a","maxTokens":1}`, nil, 400, "class"},
		{"unknown class", "POST", requestsPath, `{"class":"x","prompt":"a","maxTokens":1}`, nil, 400, "class"},
		{"no prompt", "POST", requestsPath, `{"class":"query","maxTokens":1}`, nil, 400, "prompt"},
		{"no tokens", "POST", requestsPath, `{"class":"query","prompt":"a"}`, nil, 400, "maxTokens"},
		{"plain body", "POST", requestsPath, `{"class":"query","prompt":"a","maxTokens":1,"operation":"x"}`, nil, 400, "operation"},
		{"bad timeout", "POST", requestsPath, `{"class":"query","prompt":"a","maxTokens":1}`, []string{"Request-Timeout", "5"}, 400, "Request-Timeout"},
		{"past timeout", "POST", requestsPath, `{"class":"query","prompt":"a","maxTokens":1}`, []string{"Request-Timeout", "-5s"}, 400, "Request-Timeout"},
		{"long key", "POST", requestsPath, `{"class":"query","prompt":"a","maxTokens":1}`, []string{"Idempotency-Key", strings.Repeat("k", 300)}, 400, "Idempotency-Key"},
		{"wrong credential", "POST", requestsPath, `{}`, []string{"Authorization", "Bearer x"}, 401, "Authorization"},
		{"no bearer", "POST", requestsPath, `{}`, []string{"Authorization", "Basic x"}, 401, "Authorization"},
		{"unknown service", "POST", "/v1/services/x/requests", `{}`, nil, 404, "service"},
		{"unknown request", "GET", "/v1/requests/x", ``, nil, 404, "id"},
		{"bad last event", "GET", "/v1/requests/x", ``, []string{"Last-Event-ID", "x"}, 400, "Last-Event-ID"},
		{"wrong method", "GET", requestsPath, ``, nil, 405, "method"},
		{"unknown path", "GET", "/x", ``, nil, 404, "path"},
		{"oversized", "POST", requestsPath, `{"class":"query","prompt":"` + strings.Repeat("a", 400<<10) + `","maxTokens":1}`, nil, 413, "body"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newCaller(d).do(context.Background(), c.method, c.path, []byte(c.body), 0, c.headers...)
			must.NoError(t, r.err)
			must.Eq(t, c.status, r.status)
			must.NotNil(t, r.problem)
			must.Eq(t, c.field, r.problem.Field)
		})
	}
	after := newCaller(d).submit(context.Background(), query(promptOf(0), 5), 0)
	mustBeComplete(t, after, promptOf(0), 5)
}

// TestCancels cancels a running request. Fetching it must give the outcome unknown from then on.
// TestCancels cancels a request while engines run it, and another right after it was accepted, which may be before or after
// engines run it: the outcome must then agree with what the engines ran.
func TestCancels(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	engines := startEngines(t)
	client := newCaller(startDaemons(t, 2, nil, documentText("pipeline", engines))[0])
	cases := []struct {
		name string
		// ready reports whether to cancel.
		ready func(id chicoryhall.RequestID) bool
		// isRunning is set if engines run the request by then.
		isRunning bool
	}{
		{"while it runs", func(id chicoryhall.RequestID) bool { return hasRun(t, engines, id) }, true},
		{"right after its acceptance", func(chicoryhall.RequestID) bool { return true }, false},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			accepted := client.submit(context.Background(), query(promptOf(i), 2000), 0, "Prefer", caller.PreferAsync)
			must.Eq(t, http.StatusAccepted, accepted.status)
			waitFor(t, "the time to cancel", func() bool { return c.ready(accepted.id) })
			path := accepted.headers.Get("Location")
			must.Eq(t, http.StatusNoContent, client.do(context.Background(), http.MethodDelete, path, nil, 0).status)
			ended := client.do(context.Background(), http.MethodGet, path, nil, 0)
			must.Eq(t, http.StatusConflict, ended.status)
			t.Logf("outcome: %s", ended.problem.Outcome)
			if c.isRunning {
				must.Eq(t, chicoryhall.OutcomeUnknown, ended.problem.Outcome)
				return
			}
			must.SliceContains(t, []chicoryhall.Outcome{chicoryhall.OutcomeUnknown, chicoryhall.OutcomeNotRun}, ended.problem.Outcome)
			time.Sleep(200 * time.Millisecond) // Until engines have got what was sent to them.
			if ended.problem.Outcome == chicoryhall.OutcomeNotRun {
				must.False(t, hasRun(t, engines, accepted.id))
			}
		})
	}
}

// hasRun reports whether an engine has opened an attempt of a request.
func hasRun(t *testing.T, engines []testEndpoint, id chicoryhall.RequestID) bool {
	t.Helper()
	for _, e := range engines {
		response, err := http.Get("http://" + e.control + "/ledger")
		must.NoError(t, err)
		var ledger struct {
			Runs []struct {
				Stream chicoryhall.RequestID `json:"stream"`
			} `json:"runs"`
		}
		must.NoError(t, json.NewDecoder(response.Body).Decode(&ledger))
		must.NoError(t, response.Body.Close())
		for _, run := range ledger.Runs {
			if run.Stream == id {
				return true
			}
		}
	}
	return false
}

// TestNotRunFreesKey checks that a request that was not run can be repeated with the same idempotency key.
func TestNotRunFreesKey(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	endpoints := []testEndpoint{{id: "e0", address: freeAddress(t), from: 0, to: testLayers}}
	d := startDaemon(t, nil, documentText("pipeline", endpoints))
	client := newCaller(d)
	first := client.submit(context.Background(), query(promptOf(0), 30), 0, caller.HeaderIdempotencyKey, "k1")
	must.Eq(t, chicoryhall.OutcomeNotRun, first.problem.Outcome)
	start(t, "chicorystand", nil, "engine", "-id", "e0", "-listen", endpoints[0].address,
		"-holdings", "assistant@1:0-12", "-failure-domain", "plateau")
	var again reply
	waitFor(t, "the endpoint to be ready", func() bool {
		again = client.submit(context.Background(), query(promptOf(0), 30), 0, caller.HeaderIdempotencyKey, "k1")
		return again.complete
	})
	mustBeComplete(t, again, promptOf(0), 30)
}

// TestOneKeyAtTwoDaemons sends the same idempotency key to two daemons concurrently and resumes the answer at each of them.
func TestOneKeyAtTwoDaemons(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	daemons := startDaemons(t, 2, nil, documentText("pipeline", startEngines(t)))
	var group sync.WaitGroup
	var replies [2]reply
	for i, d := range daemons {
		group.Go(func() {
			replies[i] = newCaller(d).submit(context.Background(), query(promptOf(0), 60), 0, caller.HeaderIdempotencyKey, "k1")
		})
	}
	group.Wait()
	for _, r := range replies {
		mustBeComplete(t, r, promptOf(0), 60)
	}
	must.Eq(t, replies[0].id, replies[1].id)
	must.Eq(t, replies[0].tokens, replies[1].tokens)
	for _, d := range daemons {
		again := newCaller(d).resume(context.Background(), replies[0].id, replies[0].eventIDs[29])
		must.NoError(t, again.err)
		must.Eq(t, replies[0].tokens[30:], again.tokens)
	}
}

// TestMetrics checks the metrics of the class, the organisation and the service after an answer.
func TestMetrics(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	d := startDaemon(t, nil, documentText("pipeline", startEngines(t)))
	mustBeComplete(t, newCaller(d).submit(context.Background(), query(promptOf(0), 5), 0), promptOf(0), 5)
	response, err := http.Get("http://" + d.callers + "/metrics")
	must.NoError(t, err)
	page, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	for _, want := range []string{
		`chicoryhall_first_token_seconds_count{class="manual/query"} 1`,
		`chicoryhall_first_token_seconds_count{organisation="garage"} 1`,
		`chicoryhall_requests_total{service="manual",outcome="answered",reason=""} 1`,
		`chicoryhall_tokens_total{service="manual"} 5`,
	} {
		must.StrContains(t, string(page), want)
	}
}
