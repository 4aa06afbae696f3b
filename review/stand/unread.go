package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// pageBytes is the size of a scanned page.
const pageBytes = 400_000

// unread checks LOST: a request from a kept channel that was passed on to a sound engine gets its answer. The consumers do not read
// for some seconds, well within their time budget.
func unread(s *setup) (verdict, error) {
	const perDaemon, pause, budget = 6, 5 * time.Second, 20 * time.Second
	d, err := s.deploy(plan{
		routes:  []route{{prefix: "/page/", kind: "unsafe", timeout: budget, aim: 500 * time.Millisecond}},
		engines: 3, daemons: 2, slots: 12, work: 30 * time.Millisecond, answerBytes: pageBytes,
	})
	if err != nil {
		return verdict{}, err
	}
	defer d.end()
	var sending sync.WaitGroup
	lost := make([]int, len(d.daemons))
	complete := 0
	var mu sync.Mutex
	for number := range perDaemon * len(d.daemons) {
		at := number % len(d.daemons)
		c := &consumer{name: fmt.Sprintf("c%02d", number), address: d.daemons[at].front, record: s.record, window: 32 << 10}
		sending.Go(func() {
			defer c.close()
			for round := range 4 {
				wanted := request{method: http.MethodPost, path: "/page/1", budget: budget, key: apiKey, body: make([]byte, 200)}
				if s.trouble && round%2 == 1 {
					wanted.before = func() {
						s.record.add("consumer %s does not read for %s", c.name, pause)
						time.Sleep(pause)
					}
				}
				got := c.send(wanted)
				time.Sleep(100 * time.Millisecond)
				mu.Lock()
				switch {
				case got.isComplete():
					complete++
				case got.kept && d.completed(got.id):
					lost[at]++
					s.record.add("LOST: %s, which %s passed on and an engine has answered: its channel ended without the answer", got.id, d.daemons[at].node)
				}
				mu.Unlock()
			}
		})
	}
	sending.Wait()
	result := verdict{}
	for i, count := range lost {
		result.broken = result.broken || count > 3
		result.lines = append(result.lines, fmt.Sprintf("%s: requests from kept channels, answered by a sound engine, whose channel ended without an answer: %d (at most 3)", d.daemons[i].node, count))
	}
	result.lines = append(result.lines, fmt.Sprintf("complete answers: %d", complete))
	return result, nil
}
