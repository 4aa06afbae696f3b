package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	hostName  = "library.example"
	apiKey    = "key-of-the-garage"
	service   = "library"
	heartbeat = 1200 * time.Millisecond
)

// zones are those of the deployment.
var zones = []string{"plateau", "pikine", "rufisque"}

// route is a route of the configuration.
type route struct {
	prefix, kind string
	timeout, aim time.Duration
	anonymous    bool
	// service is where the route goes, or empty for the first one.
	service string
}

// configuration returns a configuration with one service of plain engines.
func configuration(version int, services []string, routes []route, keys []string) map[string]any {
	var all, described []map[string]any
	for _, name := range services {
		described = append(described, map[string]any{"name": name, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false})
	}
	for i, one := range routes {
		target := one.service
		if target == "" {
			target = services[0]
		}
		all = append(all, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": hostName, "@prefix": one.prefix, "kind": one.kind, "timeoutMs": one.timeout.Milliseconds(),
			"@aimMs": one.aim.Milliseconds(), "priority": 1, "service": target, "maxAttempts": 2, "anonymous": one.anonymous,
			"sticky": false, "resumable": false,
		})
	}
	return map[string]any{
		"version": version, "routes": all,
		"services": described,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "garage", "@keys": keys, "priority": 1}},
	}
}

// deployment is a running one: the store, the engines and the daemons.
type deployment struct {
	platform     *store
	storeAddress string
	engines      []*engine
	daemons      []*daemon
	services     []string
	ended        chan struct{}
	working      sync.WaitGroup
	stops        []func()
}

// plan says what a deployment consists of.
type plan struct {
	routes           []route
	engines, daemons int
	slots            int
	work             time.Duration
	answerBytes      int
	// extra is a second service with as many engines, or empty.
	extra string
}

// configuration returns a configuration with the services of the deployment.
func (d *deployment) configuration(version int, routes []route, keys []string) map[string]any {
	return configuration(version, d.services, routes, keys)
}

// deploy starts a deployment and waits until its daemons are ready.
func (s *setup) deploy(wanted plan) (*deployment, error) {
	d := &deployment{platform: newStore(), services: []string{service}, ended: make(chan struct{})}
	if wanted.extra != "" {
		d.services = append(d.services, wanted.extra)
	}
	address, stop := d.platform.serve()
	d.storeAddress = address
	d.stops = append(d.stops, stop)
	d.platform.put("op", "config", d.configuration(7, wanted.routes, []string{apiKey}))
	for i := range wanted.engines * len(d.services) {
		e := newEngine(fmt.Sprintf("i-%d", i+1), d.services[i/wanted.engines], zones[i%len(zones)], wanted.slots, 24, wanted.work, s.record)
		e.answerBytes = wanted.answerBytes
		d.engines = append(d.engines, e)
		d.stops = append(d.stops, e.stop)
		d.platform.put("servers", e.id, e.entry())
	}
	for i := range wanted.daemons {
		zone := zones[i%len(zones)]
		one := start(s.root, s.folder, fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone, fmt.Sprintf("127.%d.7.%d", 1+os.Getpid()%250, i+1), d.storeAddress)
		d.daemons = append(d.daemons, one)
		d.stops = append(d.stops, one.kill)
	}
	d.working.Go(d.ping)
	if !awaitReady(d.daemons) {
		d.end()
		return nil, errors.New("the daemons did not become ready")
	}
	time.Sleep(time.Second)
	return d, nil
}

// ping writes the entries of the engines again and again.
func (d *deployment) ping() {
	for {
		select {
		case <-d.ended:
			return
		case <-time.After(heartbeat):
		}
		for _, e := range d.engines {
			d.platform.put("servers", e.id, e.entry())
		}
	}
}

// end ends everything that was started.
func (d *deployment) end() {
	close(d.ended)
	d.working.Wait()
	for _, stop := range d.stops {
		stop()
	}
}

// completed reports whether an engine has run a request to its end and written its whole answer.
func (d *deployment) completed(id string) bool {
	for _, e := range d.engines {
		if e.hasAnswered(id) {
			return true
		}
	}
	return false
}

// wasPassedOn reports whether a request has begun to run at an engine.
func (d *deployment) wasPassedOn(id string) bool {
	for _, e := range d.engines {
		if e.runsOf(id) > 0 {
			return true
		}
	}
	return false
}

// number returns the number in an environment variable, or the usual one.
func number(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}
