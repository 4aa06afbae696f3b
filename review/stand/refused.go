package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// holdWork and planWork are how long requests of the two kinds run.
	holdWork, planWork = 20 * time.Millisecond, 140 * time.Millisecond
	// slowFactor, slowShare, slowTime and slowPause are the dose of the disruption.
	slowFactor = 8
	slowShare  = 0.15
	slowTime   = 6 * time.Second
	slowPause  = 2 * time.Second
)

// turnSlow makes other engines slow again and again until a time.
func (d *deployment) turnSlow(s *setup, until time.Time) {
	count := int(slowShare * float64(len(d.engines)))
	for time.Now().Before(until) {
		var slow []*engine
		for _, i := range rand.Perm(len(d.engines))[:count] {
			slow = append(slow, d.engines[i])
			d.engines[i].setSlow(slowFactor)
		}
		s.record.add("%d engines of %d work %d times as long", count, len(d.engines), slowFactor)
		time.Sleep(slowTime)
		for _, e := range slow {
			e.setSlow(1)
		}
		s.record.add("all engines work as usual")
		time.Sleep(slowPause)
	}
}

// refused checks REFUSED: a request that may run at most once and is answered 429 or 503 has not run and never will. Some engines
// turn slow, so that requests stand in their queues until their time is over, and are refused then.
func refused(s *setup) (verdict, error) {
	const holdBudget, planBudget = 300 * time.Millisecond, 10 * time.Second
	d, err := s.deploy(plan{
		routes: []route{
			{prefix: "/hold/", kind: "unsafe", timeout: time.Second, aim: 100 * time.Millisecond},
			{prefix: "/plan/", kind: "safe", timeout: planBudget, aim: 1500 * time.Millisecond},
		},
		engines: 190, daemons: 3, slots: 1,
	})
	if err != nil {
		return verdict{}, err
	}
	defer d.end()
	for _, e := range d.engines {
		e.workOf = func(r *http.Request) time.Duration {
			if r.Method == http.MethodGet {
				return planWork
			}
			return holdWork
		}
	}
	until := time.Now().Add(104 * time.Second)
	var working sync.WaitGroup
	if s.trouble {
		working.Go(func() { d.turnSlow(s, until) })
	}
	const consumers, planners = 540, 220
	var mu sync.Mutex
	statuses := make(map[int]int)
	refusals, broken := 0, 0
	var refusedIDs []reply
	for i := range consumers {
		c := &consumer{name: fmt.Sprintf("c%03d", i), address: d.daemons[i%len(d.daemons)].front, record: s.record, isQuiet: true}
		wanted := request{method: http.MethodPost, path: "/hold/1", budget: holdBudget, key: apiKey, body: make([]byte, 600)}
		if i < planners {
			wanted = request{method: http.MethodGet, path: "/plan/1", budget: planBudget, key: apiKey}
		}
		working.Go(func() {
			defer c.close()
			for time.Now().Before(until) {
				got := c.send(wanted)
				mu.Lock()
				statuses[got.status]++
				if wanted.method == http.MethodPost && (got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests) {
					refusedIDs = append(refusedIDs, got)
				}
				mu.Unlock()
				time.Sleep(rand.N(150 * time.Millisecond))
			}
		})
	}
	working.Wait()
	for _, got := range refusedIDs {
		refusals++
		s.record.add("consumer: %s is answered %d after %.1f ms", got.id, got.status, float64(got.took.Microseconds())/1000)
		if d.wasPassedOn(got.id) {
			broken++
			s.record.add("REFUSED: %s was answered %d and has run; %s", got.id, got.status, d.story(got.id))
		}
	}
	return verdict{broken: broken > 0, lines: []string{
		fmt.Sprintf("requests of kind unsafe that were answered 429 or 503: %d; of these have run all the same: %d (none is allowed)", refusals, broken),
		fmt.Sprintf("answers by status: %v", statuses),
	}}, nil
}

// story tells what the engines did with a request.
func (d *deployment) story(id string) string {
	told := ""
	for _, e := range d.engines {
		e.mu.Lock()
		if at, known := e.rejectedAt[id]; known {
			told += fmt.Sprintf("rejected by %s at %.4f s; ", e.id, at.Sub(begun).Seconds())
		}
		if at, known := e.begunAt[id]; known {
			told += fmt.Sprintf("begun by %s at %.4f s; ", e.id, at.Sub(begun).Seconds())
		}
		e.mu.Unlock()
	}
	return told
}
