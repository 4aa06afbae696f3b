package main

import (
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// The plain service, and the routes to it.
const (
	service    = "wuno96b"
	safePath   = "/cufi504/"
	unsafePath = "/puxa403/"
)

// leadTime is how long before the traffic the machines start.
const leadTime = 10 * time.Second

// deployment is a small deployment: daemons in three zones, a store and a plain service.
type deployment struct {
	record   *record
	store    *store
	machines []*machine
	engines  []*engine
	folder   string
}

// running is the deployment of the case, or nil.
var running atomic.Pointer[deployment]

// stopAll ends what the case has started.
func stopAll() {
	if d := running.Load(); d != nil {
		d.stop()
	}
}

// zones are those of the daemons, as in the site file asmam-atelier.
var zones = []string{"plateau", "plateau", "plateau", "pikine", "pikine", "rufisque", "rufisque", "rufisque"}

// newDeployment prepares a deployment; nothing runs before start.
func newDeployment(r *record, engines int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, store: newStore(), folder: folder}
	running.Store(d)
	for i, zone := range zones {
		d.machines = append(d.machines, &machine{
			name: fmt.Sprintf("front-%s-%d", zone, i), ip: fmt.Sprintf("127.0.%d.1", i+1), zone: zone, number: i, folder: folder,
		})
	}
	base, err := freeBase(d.machines)
	if err != nil {
		return nil, err
	}
	for i, m := range d.machines {
		m.base = base
		if m.store, err = d.store.open(i); err != nil {
			return nil, err
		}
	}
	for i := range engines {
		d.engines = append(d.engines, d.newEngine(fmt.Sprintf("e%d", i), []string{"plateau", "pikine", "rufisque"}[i%3]))
	}
	return d, nil
}

func (d *deployment) newEngine(name, zone string) *engine {
	return &engine{name: name, service: service, zone: zone, slots: 6, queue: 24, work: 30 * time.Millisecond, store: d.store, record: d.record}
}

// join adds an engine.
func (d *deployment) join(name, zone string) error {
	joined := d.newEngine(name, zone)
	if err := joined.start(); err != nil {
		return err
	}
	d.engines = append(d.engines, joined)
	d.record.printf("engine %s has joined", joined.id)
	return nil
}

func route(name, prefix, kind string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, wire("prefix"): prefix, "kind": kind, "timeoutMs": 1000, wire("latency"): 150, "priority": 2,
		"service": service, "maxAttempts": attempts, "anonymous": false, "sticky": false,
	}
}

// configuration is the operator's configuration.
func configuration(version int) map[string]any {
	return map[string]any{
		"version":  version,
		"routes":   []any{route("r-safe", safePath, "safe", 2), route("r-unsafe", unsafePath, "unsafe", 1), route("r-crash", poisonPath, "safe", 2)},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", wire("keys"): []string{apiKey}, "priority": 1}},
	}
}

// start starts all parts, and returns once the lead time is over.
func (d *deployment) start() error {
	d.store.put("op", "config", configuration(7))
	for _, e := range d.engines {
		if err := e.start(); err != nil {
			return err
		}
	}
	started := time.Now()
	for _, m := range d.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	d.record.printf("%d daemons and %d engines have started", len(d.machines), len(d.engines))
	time.Sleep(time.Until(started.Add(leadTime)))
	for _, m := range d.machines {
		if m.hasEnded() || !m.isReady() {
			return fmt.Errorf("daemon %s is not ready", m.name)
		}
	}
	d.record.printf("all daemons are ready")
	return nil
}

// stop ends all that was started.
func (d *deployment) stop() {
	for _, m := range d.machines {
		if m.command != nil {
			m.kill()
		}
	}
	for _, e := range d.engines {
		if e.server != nil {
			_ = e.server.Close()
		}
	}
	d.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}
