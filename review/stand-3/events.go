package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	newsEvents = 6
	// newsRequests is the number of requests; each answer is an event stream of newsEvents events.
	newsRequests = 200
	// One of breakOffEach runs breaks off.
	breakOffEach = 20
)

// newsRuns holds the whole body that each run has made, or would have made, by its seal.
type newsRuns struct {
	mu     sync.Mutex
	runs   int
	bodies map[string][]byte
}

// serve answers a safe request with an event stream. Each run has a body of its own. One of breakOffEach breaks off.
func (n *newsRuns) serve(e *engine, w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	n.runs++
	run := n.runs
	seal := fmt.Sprintf("seal.%s.%d", e.id, run)
	var whole bytes.Buffer
	for number := 1; number <= newsEvents; number++ {
		_, _ = fmt.Fprintf(&whole, "id: %d\ndata: run %d, line %d\n\n", number, run, number)
	}
	n.bodies[seal] = whole.Bytes()
	n.mu.Unlock()
	w.Header().Set(names["seal"], seal)
	w.Header().Set("Content-Type", "text/event-stream")
	for number, event := range strings.SplitAfter(whole.String(), "\n\n") {
		_, _ = w.Write([]byte(event))
		_ = http.NewResponseController(w).Flush()
		if e.platform.trouble && run%breakOffEach == 0 && number == newsEvents/2-1 {
			e.platform.record.add("run %d of request %s at engine %s breaks off after %d events", run, r.Header.Get("Request-Id"), e.id, number+1)
			panic(http.ErrAbortHandler)
		}
		time.Sleep(5 * time.Millisecond)
	}
	e.platform.record.add("run %d of request %s at engine %s is complete, seal %s", run, r.Header.Get("Request-Id"), e.id, seal)
}

// playEvents fetches answers of a safe route that are event streams, and compares each success with the body of the run whose seal it bears.
func playEvents(p *platform) (bool, error) {
	news := &newsRuns{bodies: make(map[string][]byte)}
	p.configure(7, []map[string]any{route("r-news", "/news/", "safe", "library", 20000, 150, 2)}, "library")
	for _, zone := range []string{"xinyi", "neihu", "banqiao"} {
		if err := p.addEngines(1, "library", zone, 6, news.serve); err != nil {
			return false, err
		}
	}
	if err := p.addDaemons("xinyi", "neihu"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	mixed, whole := 0, 0
	for n := range newsRequests {
		got := send(p.daemons[n%2].callers(), request{method: "GET", path: "/news/1", budget: 5 * time.Second})
		news.mu.Lock()
		isWhole := bytes.Equal(got.body, news.bodies[got.seal])
		news.mu.Unlock()
		if !isWhole {
			p.record.add("request %s: status %d, complete %t, seal %s; the body is not that of the run with the seal:\n%s", got.id, got.status, got.complete, got.seal,
				strings.ReplaceAll(strings.TrimSpace(string(got.body)), "\n\n", "\n"))
		}
		switch {
		case got.status == http.StatusOK && got.complete && isWhole:
			whole++
		case got.status == http.StatusOK && got.complete:
			mixed++
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.record.add("%d of %d answers came whole, %d successes have a body that no engine has made", whole, newsRequests, mixed)
	if mixed == 0 && whole == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return mixed > 0, nil
}
