package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstRoutes is the number of idle routes at first, and grownRoutes what each of growths adds.
	firstRoutes = 110
	grownRoutes = 400
	growths     = 6
	// A storm writes stormChanges versions, stormGap apart. The next one follows after stormPause.
	stormChanges = 20
	stormGap     = 100 * time.Millisecond
	stormPause   = 1500 * time.Millisecond
	storms       = 25
	// unsafeRate is the number of requests a second, and unsafeWork how long an engine works on each.
	unsafeRate = 150
	unsafeWork = 250 * time.Millisecond
)

// serveHold works on a request for unsafeWork.
func serveHold(_ *engine, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if sleep(r.Context(), unsafeWork) {
		_, _ = w.Write([]byte("held\n"))
	}
}

// idleRoute is a route without traffic, written as on the platform's pages.
func idleRoute(number int) map[string]any {
	one := route(fmt.Sprintf("r-idle%05d", number), fmt.Sprintf("/idle%05d/", number), "stream", "library", 20000, 500, 2)
	one["sticky"] = true
	if number%2 == 0 { // Split between two services, as the first one of the page.
		delete(one, "service")
		one[names["split"]] = []map[string]any{{"service": "library", "weight": 90}, {"service": "archive", "weight": 10}}
	}
	return one
}

// playStorm changes a configuration of many routes often, while requests go on over kept channels.
func playStorm(p *platform) (bool, error) {
	routes := []map[string]any{route("r-hold", "/hold/", "unsafe", "library", 5000, 500, 1)}
	for number := range firstRoutes {
		routes = append(routes, idleRoute(number))
	}
	version := 7
	p.configure(version, routes, "library", "archive")
	for _, zone := range []string{"xinyi", "neihu", "banqiao"} {
		if err := p.addEngines(4, "library", zone, 6, serveHold); err != nil {
			return false, err
		}
	}
	if err := p.addDaemons("xinyi", "neihu"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop, working := make(chan struct{}), sync.WaitGroup{}
	held := &holds{}
	var ended atomic.Int32
	for _, d := range p.daemons {
		working.Go(func() {
			peak, killed := p.limitMemory(d, stop)
			p.record.add("%s held %d MB at most, killed %t", d.name, peak>>20, killed)
			ended.Add(1)
		})
	}
	working.Go(func() { p.sendHolds(held, stop, &working) })
	for range growths {
		for range grownRoutes {
			routes = append(routes, idleRoute(len(routes)))
		}
		version += 3
		p.configure(version, routes, "library", "archive")
		time.Sleep(time.Second)
	}
	p.record.add("version %d has %d routes", version, len(routes))
	for storm := 0; storm < storms && int(ended.Load()) < len(p.daemons); storm++ {
		for range stormChanges {
			if p.trouble {
				version += 3
				routes[1]["timeoutMs"] = 20000 + version%5
				p.configure(version, routes, "library", "archive")
			}
			time.Sleep(stormGap)
		}
		time.Sleep(stormPause)
		p.record.add("after storm %d, version %d: the daemons hold %d and %d MB", storm+1, version,
			memoryOf(p.daemons[0].process.Process.Pid)>>20, memoryOf(p.daemons[1].process.Process.Pid)>>20)
	}
	close(stop)
	working.Wait()
	return held.isBroken(p.record), nil
}

// holds counts the requests over kept channels.
type holds struct {
	mu                      sync.Mutex
	answered, other, closed int
}

func (h *holds) isBroken(rec *record) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	rec.add("requests over kept channels: %d answered, %d with another status, %d passed on to an engine and closed without an answer, %d are allowed",
		h.answered, h.other, h.closed, allowedLost)
	return h.closed > allowedLost
}

// sendHolds sends requests over kept channels until stop is closed. A channel that has closed is opened again.
func (p *platform) sendHolds(held *holds, stop chan struct{}, working *sync.WaitGroup) {
	const callers = 36
	for n := range callers {
		working.Go(func() {
			var c *channel
			for used := 0; ; used++ {
				const pause = callers * time.Second / unsafeRate
				select {
				case <-stop:
					return
				case <-time.After(pause/2 + time.Duration(rand.Int64N(int64(pause)))):
				}
				if c == nil {
					var err error
					if c, err = openChannel(p.daemons[n%len(p.daemons)].callers()); err != nil {
						c = nil
						continue
					}
					used = 0
				}
				status, _, err := c.get("/hold/1", 0)
				held.mu.Lock()
				switch {
				case err == nil && status == http.StatusOK:
					held.answered++
				case err == nil:
					held.other++
				case used > 0 && p.hasRun(c.lastID):
					held.closed++
					p.record.add("a request over a kept channel got no answer: %v", err)
				}
				held.mu.Unlock()
				if err != nil {
					_ = c.conn.Close()
					c = nil
				}
			}
		})
	}
}
