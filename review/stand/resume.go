package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// eventPause is the time between two events of a stream.
	eventPause = 100 * time.Millisecond
	// shortEvents and longEvents are the numbers of events of the streams.
	shortEvents, longEvents = 5, 50
)

// streamer writes streams as a model engine does. Its events hold several tokens each, and their ids, which increase, are the
// numbers of tokens so far.
type streamer struct {
	engine *engine
	// tokens is how many tokens an event holds.
	tokens int
}

func (s *streamer) serve(w http.ResponseWriter, r *http.Request, id string) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	events := longEvents
	if strings.HasSuffix(r.URL.Path, "/short") {
		events = shortEvents
	}
	w.Header().Set("Server-Seal", "seal."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	for number := last/s.tokens + 1; number <= events; number++ {
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %d\n\n", number*s.tokens, number, events); err != nil || control.Flush() != nil {
			return
		}
	}
	s.engine.noteAnswered(id)
}

// readStream reads the events of an answer and returns the last id, or an error if the stream breaks off or an event is missing.
func readStream(body io.Reader, tokens, events int) (last int, err error) {
	for lines := bufio.NewScanner(body); ; {
		if !lines.Scan() {
			err = lines.Err()
			break
		}
		text, isID := strings.CutPrefix(lines.Text(), "id: ")
		if !isID {
			continue
		}
		id, _ := strconv.Atoi(text)
		if id != last+tokens {
			return last, fmt.Errorf("event %d comes after event %d", id, last)
		}
		last = id
	}
	if err == nil && last != tokens*events {
		err = errors.New("the stream ended before its last event")
	}
	return last, err
}

// resume checks LOST with streams that may be resumed: an engine crashes, and another one goes on behind Last-Event-Id.
func resume(s *setup) (verdict, error) {
	const budget, perDaemon = 20 * time.Second, 18
	tokens := number("TOKENS", 3)
	d, err := s.deploy(plan{
		routes:  []route{{prefix: "/draft/", kind: "stream", timeout: budget, aim: 500 * time.Millisecond, resumable: true}},
		engines: 3, daemons: 1, slots: 24,
	})
	if err != nil {
		return verdict{}, err
	}
	defer d.end()
	for _, e := range d.engines {
		e.stream = (&streamer{engine: e, tokens: tokens}).serve
	}
	var sending sync.WaitGroup
	var mu sync.Mutex
	lost, complete := make([]int, len(d.daemons)), 0
	for number := range perDaemon * len(d.daemons) {
		at := number % len(d.daemons)
		c := &consumer{name: fmt.Sprintf("c%02d", number), address: d.daemons[at].front, record: s.record}
		sending.Go(func() {
			defer c.close()
			for _, one := range []struct {
				path   string
				events int
			}{{"/draft/short", shortEvents}, {"/draft/long", longEvents}} {
				got := c.send(request{method: http.MethodPost, path: one.path, budget: budget, key: apiKey, events: one.events, tokens: tokens})
				mu.Lock()
				switch {
				case got.isComplete():
					complete++
				case got.kept && d.isAtSoundEngine(got.id):
					lost[at]++
					s.record.add("LOST: %s, which %s passed on to a sound engine behind event %d: its channel ended", got.id, d.daemons[at].node, got.last)
				}
				mu.Unlock()
			}
		})
	}
	if s.trouble {
		time.Sleep(3 * time.Second)
		crashed := d.busiest()
		s.record.add("engine %s crashes", crashed.id)
		crashed.crash() // It pings no more; its entry stays for three pings.
		time.AfterFunc(3*heartbeat, func() { d.platform.drop("servers", crashed.id) })
	}
	sending.Wait()
	result := verdict{}
	for i, count := range lost {
		result.broken = result.broken || count > 3
		result.lines = append(result.lines, fmt.Sprintf("%s: requests from kept channels, passed on to a sound engine, whose channel ended without the rest of the answer: %d (at most 3)", d.daemons[i].node, count))
	}
	result.lines = append(result.lines, fmt.Sprintf("complete answers: %d", complete))
	return result, nil
}

// busiest returns the engine that runs most requests.
func (d *deployment) busiest() *engine {
	best, most := d.engines[0], -1
	for _, e := range d.engines {
		e.mu.Lock()
		if e.running > most {
			best, most = e, e.running
		}
		e.mu.Unlock()
	}
	return best
}

// isAtSoundEngine reports whether a request has begun to run at an engine that has not crashed.
func (d *deployment) isAtSoundEngine(id string) bool {
	for _, e := range d.engines {
		if !e.hasCrashed() && e.runsOf(id) > 0 {
			return true
		}
	}
	return false
}
