package modelengine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/modelengine"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/timer"
)

const (
	modelName    = "drafter"
	modelVersion = "1"
	layers       = 9
)

var model = digest.ModelOf(modelName, modelVersion)

// start starts an engine that holds layers [from,to) and stops it when the test ends.
func start(t testing.TB, id string, from, to int, change func(*modelengine.Settings)) *modelengine.Engine {
	t.Helper()
	settings := modelengine.Defaults()
	settings.ID = chicoryhall.EndpointID(id)
	settings.Listen = "127.0.0.1:0"
	settings.StepTime = time.Millisecond
	settings.Holdings = []modelengine.Holding{{Model: modelName, Version: modelVersion, From: from, To: to}}
	if change != nil {
		change(&settings)
	}
	clock := timer.New()
	e, err := modelengine.New(settings, clock, event.NewLogger(io.Discard, "test", log.ErrorLevel))
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = clock.Serve(ctx) }()
	go func() { _ = e.Serve(ctx) }()
	must.NoError(t, e.Start())
	t.Cleanup(func() {
		cancel()
		e.Stop()
	})
	return e
}

// hop returns a hop of a route that uses layers [from,to) of an engine.
func hop(e *modelengine.Engine, id string, from, to int) chicoryhall.Hop {
	return chicoryhall.Hop{Engine: chicoryhall.EndpointID(id), Address: e.Address(), From: from, To: to}
}

// request returns the start message of a stream.
func request(stream string, attempt, tokens int, prompt string, route ...chicoryhall.Hop) *engine.StreamRequest {
	return &engine.StreamRequest{
		Stream: chicoryhall.RequestID(stream), Attempt: attempt, Model: modelName, Version: modelVersion,
		Prompt: digest.Tokenize(prompt), MaxTokens: tokens, Route: route, TimeoutMillis: 10_000,
	}
}

// open starts a stream and returns a function that returns its next event.
func open(t *testing.T, s *engine.StreamRequest) func() (engine.Event, bool) {
	t.Helper()
	body, err := json.Marshal(s)
	must.NoError(t, err)
	response, err := http.Post("http://"+s.Route[0].Address+"/v1/streams", "application/json", bytes.NewReader(body))
	must.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	lines := bufio.NewScanner(response.Body)
	return func() (engine.Event, bool) {
		if !lines.Scan() {
			return engine.Event{}, false
		}
		var e engine.Event
		must.NoError(t, json.Unmarshal(lines.Bytes(), &e))
		return e, true
	}
}

// collect reads a stream to its end and returns its tokens and its last event.
func collect(t *testing.T, next func() (engine.Event, bool)) ([]digest.Token, engine.Event) {
	t.Helper()
	var tokens []digest.Token
	var last engine.Event
	for {
		e, more := next()
		if !more {
			return tokens, last
		}
		last = e
		if e.Kind == engine.EventToken {
			tokens = append(tokens, e.Token)
		}
	}
}

// runs returns the positions that an engine ran for an attempt.
func runs(t *testing.T, e *modelengine.Engine, stream string, attempt int) []modelengine.PositionRange {
	t.Helper()
	for _, run := range e.Ledger().(modelengine.Ledger).Runs {
		if string(run.Stream) == stream && run.Attempt == attempt {
			must.Zero(t, run.Repeats)
			return run.Positions
		}
	}
	return nil
}

const prompt = "a banquet hall for three hundred guests near the river on the eighth day of the eighth month"

func TestCompleteAnswer(t *testing.T) {
	cases := []struct {
		name string
		cuts []int
	}{
		{"one stage", []int{0, layers}},
		{"two stages", []int{0, 4, layers}},
		{"three stages", []int{0, 3, 5, layers}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var engines []*modelengine.Engine
			var route []chicoryhall.Hop
			for i := range len(c.cuts) - 1 {
				id := fmt.Sprintf("e%d", i)
				engines = append(engines, start(t, id, c.cuts[i], c.cuts[i+1], nil))
				route = append(route, hop(engines[i], id, c.cuts[i], c.cuts[i+1]))
			}
			s := request("s", 1, 20, prompt, route...)
			tokens, last := collect(t, open(t, s))
			must.Eq(t, engine.EventDone, last.Kind)
			must.Len(t, 20, tokens)
			must.Eq(t, -1, digest.Verify(model, layers, s.Prompt, tokens))
			for _, e := range engines {
				want := []modelengine.PositionRange{{From: 0, To: len(s.Prompt) + 19}}
				must.Eq(t, want, runs(t, e, "s", 1))
			}
		})
	}
}

func TestReplacedStage(t *testing.T) {
	cases := []struct {
		name string
		// imports is set if the new stage imports the old one's KV. wantFrom returns the first position that it runs.
		imports  bool
		wantFrom func(given int) int
	}{
		{"prefill", false, func(int) int { return 0 }},
		{"import", true, func(given int) int { return given - 1 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first := start(t, "e0", 0, 3, nil)
			old := start(t, "e1", 3, 6, nil)
			fresh := start(t, "e2", 3, 6, nil)
			last := start(t, "e3", 6, layers, nil)
			s := request("s", 1, 30, prompt, hop(first, "e0", 0, 3), hop(old, "e1", 3, 6), hop(last, "e3", 6, layers))
			next := open(t, s)
			var delivered []digest.Token
			for len(delivered) < 7 {
				e, more := next()
				must.True(t, more)
				if e.Kind == engine.EventToken {
					delivered = append(delivered, e.Token)
				}
			}
			middle := hop(fresh, "e2", 3, 6)
			if c.imports {
				middle.ImportFrom, middle.ImportAttempt = old.Address(), 1
			}
			keepFirst, keepLast := hop(first, "e0", 0, 3), hop(last, "e3", 6, layers)
			keepFirst.ReuseKV, keepFirst.ImportAttempt = true, 1
			keepLast.ReuseKV, keepLast.ImportAttempt = true, 1
			second := request("s", 2, 30, prompt, keepFirst, middle, keepLast)
			second.Tokens = delivered
			rest, done := collect(t, open(t, second))
			must.Eq(t, engine.EventDone, done.Kind)
			must.Eq(t, -1, digest.Verify(model, layers, s.Prompt, append(delivered, rest...)))
			must.Len(t, 23, rest)
			given := len(s.Prompt) + len(delivered)
			total := len(s.Prompt) + 29
			must.Eq(t, []modelengine.PositionRange{{From: c.wantFrom(given), To: total}}, runs(t, fresh, "s", 2))
			must.Eq(t, []modelengine.PositionRange{{From: given - 1, To: total}}, runs(t, last, "s", 2))
			_, ended := collect(t, next)
			must.Eq(t, engine.EventStageFailed, ended.Kind)
			must.Eq(t, engine.RefusalOldAttempt, ended.Refusal)
		})
	}
}

func TestRefusals(t *testing.T) {
	e := start(t, "e0", 0, layers, nil)
	route := hop(e, "e0", 0, layers)
	_, last := collect(t, open(t, request("used", 3, 4, prompt, route)))
	must.Eq(t, engine.EventDone, last.Kind)
	outside := hop(e, "e0", 0, layers+1)
	cases := []struct {
		name  string
		start *engine.StreamRequest
		want  engine.Refusal
	}{
		{"older attempt", request("used", 2, 4, prompt, route), engine.RefusalOldAttempt},
		{"same attempt again", request("used", 3, 4, prompt, route), engine.RefusalOldAttempt},
		{"layers not held", request("a", 1, 4, prompt, outside), engine.RefusalNotLoaded},
		{"no prompt", request("b", 1, 4, "", route), engine.RefusalMalformed},
		{"longer than the memory", request("c", 1, 1<<20, prompt, route), engine.RefusalFull},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tokens, last := collect(t, open(t, c.start))
			must.Len(t, 0, tokens)
			must.Eq(t, engine.EventRefused, last.Kind)
			must.Eq(t, c.want, last.Refusal)
		})
	}
	must.True(t, e.Act("leave"))
	_, last = collect(t, open(t, request("d", 1, 4, prompt, route)))
	must.Eq(t, engine.RefusalLeaving, last.Refusal)
}

func TestCachedPrefixIsNotRunAgain(t *testing.T) {
	first := start(t, "e0", 0, 4, nil)
	second := start(t, "e1", 4, layers, nil)
	route := []chicoryhall.Hop{hop(first, "e0", 0, 4), hop(second, "e1", 4, layers)}
	long := prompt + prompt + prompt + prompt
	s := request("a", 1, 5, long, route...)
	_, last := collect(t, open(t, s))
	must.Eq(t, engine.EventDone, last.Kind)
	again := request("b", 1, 5, long+" with parking", route...)
	tokens, last := collect(t, open(t, again))
	must.Eq(t, engine.EventDone, last.Kind)
	must.Eq(t, -1, digest.Verify(model, layers, again.Prompt, tokens))
	// The last token of the prompt may cover fewer than eight bytes and then differs, as the second prompt continues there.
	cached := (len(s.Prompt) - 1) / engine.PrefixBlockTokens * engine.PrefixBlockTokens
	for _, e := range []*modelengine.Engine{first, second} {
		must.Eq(t, []modelengine.PositionRange{{From: cached, To: len(again.Prompt) + 4}}, runs(t, e, "b", 1))
	}
}

func TestSilentConnectionIsReportedAndReplaced(t *testing.T) {
	first := start(t, "e0", 0, 4, nil)
	second := start(t, "e1", 4, layers, nil)
	route := []chicoryhall.Hop{hop(first, "e0", 0, 4), hop(second, "e1", 4, layers)}
	_, last := collect(t, open(t, request("warm", 1, 2, prompt, route...)))
	must.Eq(t, engine.EventDone, last.Kind)
	must.True(t, second.Act("silence"))
	next := open(t, request("s", 1, 2, prompt, route...))
	waiting, more := next()
	must.True(t, more)
	must.Eq(t, engine.EventWaiting, waiting.Kind)
	must.Eq(t, "e1", string(waiting.Engine))
	_, last = collect(t, next)
	must.Eq(t, engine.EventStageFailed, last.Kind)
	must.Eq(t, engine.RefusalUnreachable, last.Refusal)
	_, last = collect(t, open(t, request("s", 2, 2, prompt, route...)))
	must.Eq(t, engine.EventDone, last.Kind)
}

func TestFrozenStageIsReportedUntilItThaws(t *testing.T) {
	first := start(t, "e0", 0, 4, nil)
	second := start(t, "e1", 4, layers, nil)
	must.True(t, second.Act("freeze"))
	s := request("s", 1, 5, prompt, hop(first, "e0", 0, 4), hop(second, "e1", 4, layers))
	next := open(t, s)
	for waited := int64(0); waited < 900; {
		e, more := next()
		must.True(t, more)
		must.Eq(t, engine.EventWaiting, e.Kind)
		must.Eq(t, "e1", string(e.Engine))
		waited = e.WaitedMillis
	}
	must.True(t, second.Act("thaw"))
	tokens, last := collect(t, next)
	must.Eq(t, engine.EventDone, last.Kind)
	must.Eq(t, -1, digest.Verify(model, layers, s.Prompt, tokens))
}

func TestStaleOrders(t *testing.T) {
	cases := []struct {
		name    string
		fencing bool
		want    engine.Refusal
		layers  int
	}{
		{"refused", true, engine.RefusalOutdatedFence, 4},
		{"executed", false, engine.RefusalNone, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := start(t, "e0", 0, layers, func(s *modelengine.Settings) {
				s.Fencing = c.fencing
				s.ReportLag = 0
			})
			must.Eq(t, engine.RefusalNone, order(t, e, 7, 4).Refusal)
			must.Eq(t, c.want, order(t, e, 6, 2).Refusal)
			time.Sleep(50 * time.Millisecond)
			response, err := http.Get("http://" + e.Address() + "/v1/load")
			must.NoError(t, err)
			var load chicoryhall.LoadReport
			must.NoError(t, json.NewDecoder(response.Body).Decode(&load))
			must.Len(t, 1, load.LoadedLayers)
			must.Eq(t, c.layers, load.LoadedLayers[0].To)
			must.Eq(t, int64(7), load.Fence)
		})
	}
}

// order orders an engine to hold the given number of layers, counted from layer 0.
func order(t *testing.T, e *modelengine.Engine, fence int64, layers int) engine.OrderResult {
	t.Helper()
	holding := chicoryhall.LayerRange{Model: modelName, Version: modelVersion, From: 0, To: layers}
	body, err := json.Marshal(engine.Order{Fence: fence, Layers: []chicoryhall.LayerRange{holding}})
	must.NoError(t, err)
	response, err := http.Post("http://"+e.Address()+"/v1/orders", "application/json", bytes.NewReader(body))
	must.NoError(t, err)
	var result engine.OrderResult
	must.NoError(t, json.NewDecoder(response.Body).Decode(&result))
	return result
}

func TestTokenLostOnSilentConnectionIsResent(t *testing.T) {
	first := start(t, "e0", 0, 3, nil)
	second := start(t, "e1", 3, 6, nil)
	third := start(t, "e2", 6, layers, nil)
	s := request("s", 1, 60, prompt, hop(first, "e0", 0, 3), hop(second, "e1", 3, 6), hop(third, "e2", 6, layers))
	next := open(t, s)
	for seen := 0; seen < 5; {
		e, more := next()
		must.True(t, more)
		if e.Kind == engine.EventToken {
			seen++
		}
	}
	third.SilenceTo(first.Address())
	tokens, last := collect(t, next)
	must.Eq(t, engine.EventDone, last.Kind)
	must.Len(t, 55, tokens)
}
