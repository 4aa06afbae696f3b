package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// stray returns the bytes that have come on the channel although no request waits for an answer.
func (c *consumer) stray() []byte {
	if c.channel == nil {
		return nil
	}
	_ = c.channel.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := c.reader.Peek(1); err != nil {
		return nil
	}
	waiting, _ := c.reader.Peek(c.reader.Buffered())
	return waiting
}

// head checks MIXED with requests of the method HEAD, whose answers have no body: a key is taken away from connected consumers.
func head(s *setup) (verdict, error) {
	const budget = time.Second
	routes := []route{
		{prefix: "/page/", kind: "safe", timeout: budget, aim: 200 * time.Millisecond},
		{prefix: "/hours/", kind: "safe", timeout: budget, aim: 200 * time.Millisecond, anonymous: true},
	}
	d, err := s.deploy(plan{routes: routes, engines: 3, daemons: 2, slots: 6, work: 15 * time.Millisecond})
	if err != nil {
		return verdict{}, err
	}
	defer d.end()
	until := time.Now().Add(12 * time.Second)
	var working sync.WaitGroup
	if s.trouble {
		working.Go(func() {
			time.Sleep(4 * time.Second)
			s.record.add("the operator takes the key away")
			d.platform.put("op", "config", d.configuration(9, routes, []string{"another-" + apiKey}))
		})
	}
	var mu sync.Mutex
	strayAnswers, unreadable, complete := 0, 0, 0
	for i := range 6 {
		c := &consumer{name: fmt.Sprintf("c%02d", i), address: d.daemons[i%len(d.daemons)].front, record: s.record}
		working.Go(func() {
			defer c.close()
			for ; time.Now().Before(until); time.Sleep(150 * time.Millisecond) {
				asked := c.send(request{method: http.MethodHead, path: "/page/1", budget: budget, key: apiKey})
				waiting := string(c.stray())
				next := c.send(request{method: http.MethodGet, path: "/hours/1", budget: budget})
				mu.Lock()
				if waiting != "" {
					strayAnswers++
					s.record.add("MIXED: after the answer %d to %s, a HEAD, the channel has %q", asked.status, asked.id, waiting)
				}
				if next.kept && !next.isComplete() {
					unreadable++
					s.record.add("the answer to %s, the next request on the channel, cannot be read: %v", next.id, next.err)
				}
				if next.isComplete() {
					complete++
				}
				mu.Unlock()
			}
		})
	}
	working.Wait()
	return verdict{broken: strayAnswers > 0, lines: []string{
		fmt.Sprintf("answers to HEAD with bytes behind them that are no answer: %d (none is allowed)", strayAnswers),
		fmt.Sprintf("next requests on the channel whose answer could not be read: %d", unreadable),
		fmt.Sprintf("complete answers to the next request: %d", complete),
	}}, nil
}
