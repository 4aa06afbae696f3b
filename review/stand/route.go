package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// archive is a second service, to which an added route goes.
	archive = "archive"
	// onePath is a path of three segments; the second one holds an encoded slash, which is a part of the segment.
	onePath = "/file/open%2F2026-12/7"
)

// misrouted checks ROUTE: the operator adds a route, and a request for another one must not go where that leads.
func misrouted(s *setup) (verdict, error) {
	const budget = time.Second
	routes := []route{{prefix: "/file/", kind: "unsafe", timeout: budget, aim: 300 * time.Millisecond}}
	d, err := s.deploy(plan{routes: routes, engines: 2, daemons: 2, slots: 6, work: 15 * time.Millisecond, extra: archive})
	if err != nil {
		return verdict{}, err
	}
	defer d.end()
	until := time.Now().Add(12 * time.Second)
	var working sync.WaitGroup
	if s.trouble {
		working.Go(func() {
			time.Sleep(4 * time.Second)
			added := append([]route{{prefix: "/file/open/", kind: "unsafe", timeout: budget, aim: 300 * time.Millisecond, service: archive, anonymous: true}}, routes...)
			s.record.add("the operator adds the anonymous route /file/open/, which goes to the service %s", archive)
			d.platform.put("op", "config", d.configuration(9, added, []string{apiKey}))
		})
	}
	var mu sync.Mutex
	var own, foreign, keyless, others int
	for i := range 8 {
		key := apiKey
		if i >= 6 {
			key = "a-key-that-nobody-holds"
		}
		c := &consumer{name: fmt.Sprintf("c%02d", i), address: d.daemons[i%len(d.daemons)].front, record: s.record}
		working.Go(func() {
			defer c.close()
			for ; time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
				got := c.send(request{method: http.MethodPost, path: onePath, budget: budget, key: key, body: []byte("file this")})
				mu.Lock()
				switch ran := d.servicesOf(got.id); {
				case key != apiKey && len(ran) > 0:
					keyless++
					s.record.add("ROUTE: %s, a POST of %s with a key that no configuration ever held, was run; it got status %d", got.id, onePath, got.status)
				case key != apiKey:
					others++
				case ran[archive]:
					foreign++
					s.record.add("ROUTE: %s, a POST of %s, was run by the service %s, to which only /file/open/ goes; it got status %d", got.id, onePath, archive, got.status)
				case ran[service]:
					own++
				default:
					others++
				}
				mu.Unlock()
			}
		})
	}
	working.Wait()
	return verdict{broken: foreign+keyless > 0, lines: []string{
		fmt.Sprintf("requests that were run by a service to which no configuration lets them go: %d (none is allowed)", foreign),
		fmt.Sprintf("requests that were run although no configuration ever held their key: %d (none is allowed)", keyless),
		fmt.Sprintf("requests that were run by the service of their route: %d, requests that were refused or not run: %d", own, others),
	}}, nil
}

// servicesOf returns the services that have run a request.
func (d *deployment) servicesOf(id string) map[string]bool {
	ran := make(map[string]bool)
	for _, e := range d.engines {
		if e.runsOf(id) > 0 {
			ran[e.service] = true
		}
	}
	return ran
}
