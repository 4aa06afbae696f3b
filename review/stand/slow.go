package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// slow checks LOST with answers that consumers at slow links read steadily: what waits for them must not end the process.
func slow(s *setup) (verdict, error) {
	const answerBytes, rate, budget = 6_000_000, 400_000, 20 * time.Second
	d, err := s.deploy(plan{
		routes:  []route{{prefix: "/page/", kind: "unsafe", timeout: budget, aim: time.Second}},
		engines: 3, daemons: 1, slots: 30, work: 50 * time.Millisecond, answerBytes: answerBytes,
	})
	if err != nil {
		return verdict{}, err
	}
	defer d.end()
	until := time.Now().Add(50 * time.Second)
	m := &machine{daemon: d.daemons[0]}
	var working sync.WaitGroup
	working.Go(func() { m.watch(s, until) })
	var mu sync.Mutex
	complete := 0
	for i := range number("CONSUMERS", 72) {
		c := &consumer{name: fmt.Sprintf("c%02d", i), address: m.front, record: s.record, window: 64 << 10}
		working.Go(func() {
			defer c.close()
			time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			for round := 0; time.Now().Before(until.Add(-16 * time.Second)); round++ {
				wanted := request{method: http.MethodPost, path: "/page/1", budget: budget, key: apiKey, body: make([]byte, 200)}
				if s.trouble && round > 0 {
					wanted.rate = rate
				}
				got := c.send(wanted)
				mu.Lock()
				switch {
				case got.isComplete() && got.status == http.StatusOK:
					complete++
				case got.err != nil && got.kept && d.wasPassedOn(got.id):
					m.note(s, got)
				}
				mu.Unlock()
				time.Sleep(3 * time.Second)
			}
		})
	}
	working.Wait()
	return verdict{broken: m.lost > 3, lines: []string{
		fmt.Sprintf("%s: at most %d MB of %d, killed for its memory %d times; requests from kept channels that it passed on and lost: %d (at most 3)",
			m.node, m.peak, memoryMb, m.memoryEnds, m.lost),
		fmt.Sprintf("complete answers: %d", complete),
	}}, nil
}
