package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	draftEvents = 120
	eventPeriod = 40 * time.Millisecond
	// eventsToCrash is the number of events that an engine makes of the poison request, each time, before it crashes.
	eventsToCrash = 3
	poisonBody    = "poison"
	// poisonBudget is the time budget of a request and triesEach the number of its tries. retryPause is the least time from a broken channel
	// to the next try. Requests come for poisonTime.
	poisonBudget = 20 * time.Second
	triesEach    = 2
	retryPause   = 2 * time.Second
	poisonTime   = 20 * time.Second
	// stableWindow and allowedRetries are those of the rule.
	stableWindow   = 3 * time.Second
	allowedRetries = 3
)

// poisonRuns records the runs of the poison request.
type poisonRuns struct {
	mu       sync.Mutex
	arrivals []time.Time
	crashes  []time.Time
}

// draft answers with a stream of events, after the one that the request names. The poison request crashes the engine.
func (runs *poisonRuns) draft(e *engine, w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body)
	isPoison := string(text) == poisonBody
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if isPoison {
		runs.mu.Lock()
		runs.arrivals = append(runs.arrivals, time.Now())
		runs.mu.Unlock()
		e.platform.record.add("engine %s runs request %s after event %d", e.id, r.Header.Get("Request-Id"), last)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for made, number := 0, last+1; number <= draftEvents; number++ {
		if !sleep(r.Context(), eventPeriod) {
			return
		}
		if isPoison && e.platform.trouble && made == eventsToCrash {
			runs.mu.Lock()
			runs.crashes = append(runs.crashes, time.Now())
			runs.mu.Unlock()
			e.platform.record.add("engine %s crashes under request %s after event %d", e.id, r.Header.Get("Request-Id"), number-1)
			e.crash()
			return
		}
		made++
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", number, r.Header.Get("Request-Id"), number)
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
	}
}

// playPoison sends a stream that crashes each engine which begins to run it. Its consumer resumes it after each broken channel.
func playPoison(p *platform) (bool, error) {
	runs := &poisonRuns{}
	p.configure(7, []map[string]any{route("r-draft", "/draft/", "stream", "draft", 20000, 500, 2)}, "draft")
	for _, zone := range []string{"xinyi", "neihu"} {
		if err := p.addEngines(5, "draft", zone, 32, runs.draft); err != nil {
			return false, err
		}
	}
	if err := p.addDaemons("xinyi", "xinyi", "neihu", "neihu"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop, innocent := make(chan struct{}), sync.WaitGroup{}
	innocent.Go(func() { p.sendInnocent(stop, &innocent) })
	p.sendPoison()
	time.Sleep(time.Second)
	close(stop)
	innocent.Wait()
	return runs.isBroken(p.record), nil
}

// sendInnocent sends other drafts all the time. Their consumers don't try again.
func (p *platform) sendInnocent(stop chan struct{}, sent *sync.WaitGroup) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
		sent.Go(func() {
			got := send(p.daemons[n%len(p.daemons)].callers(), request{method: "POST", path: "/draft/1", body: fmt.Sprint("draft ", n), budget: 20 * time.Second})
			p.record.add("innocent draft %d: status %d, %d events, complete %t", n, got.status, got.events, got.complete)
		})
	}
}

// sendPoison sends the request again and again, each time at another machine and with the ID of the last event that the consumer has. Each
// request has its time budget and is tried once more within it, as the sheet says; then it comes again.
func (p *platform) sendPoison() {
	last, until := 0, time.Time{}
	begun := time.Now()
	for n := 0; time.Since(begun) < poisonTime; n++ {
		to, what := p.daemons[n%len(p.daemons)], "tries the request once more"
		if n%triesEach == 0 {
			until, what = time.Now().Add(poisonBudget), "sends the request"
		}
		p.record.add("the consumer %s, at %s, after event %d", what, to.name, last)
		got := send(to.callers(), request{method: "POST", path: "/draft/1", body: poisonBody, lastEvent: last, budget: time.Until(until)})
		p.record.add("try %s: status %d, %d events, complete %t, Retry-After %s", got.id, got.status, got.events, got.complete, got.retryAfter)
		last = got.lastEvent
		if got.status == http.StatusOK && got.complete {
			return
		}
		time.Sleep(max(retryPause, min(got.retryAfter, time.Until(until)/3)))
	}
}

// isBroken reports whether more retries reached engines than the rule allows.
func (runs *poisonRuns) isBroken(rec *record) bool {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	if len(runs.crashes) < 3 {
		rec.add("the request crashed %d engines", len(runs.crashes))
		return false
	}
	from, late := runs.crashes[2].Add(stableWindow), 0
	for _, at := range runs.arrivals {
		if at.After(from) {
			late++
		}
	}
	rec.add("the request crashed %d engines; %d retries reached engines later than %s after the third crash, %d are allowed", len(runs.crashes), late, stableWindow, allowedRetries)
	return late > allowedRetries
}
