package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	host      = "desk.example"
	tenantKey = "n2ctnfzs989anu6wsjnb"
)

// platform is a small deployment: the store, engines and daemons.
type platform struct {
	root, folder string
	record       *record
	trouble      bool
	store        *store
	storeAddress string
	engines      []*engine
	daemons      []*daemon
	// ran holds the IDs of the requests that engines have begun to run.
	ran sync.Map
}

// hasRun reports whether an engine has begun to run a request.
func (p *platform) hasRun(id string) bool {
	_, ran := p.ran.Load(id)
	return ran
}

func newPlatform(root, folder string, rec *record, trouble bool) (*platform, error) {
	p := &platform{root: root, folder: folder, record: rec, trouble: trouble, store: newStore()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.storeAddress = listener.Addr().String()
	server := &http.Server{Handler: p.store}
	go func() { _ = server.Serve(listener) }()
	return p, nil
}

// route is a route of the configuration.
func route(name, prefix, kind, service string, timeoutMs, targetMs, attempts int) map[string]any {
	one := map[string]any{
		"name": name, "host": host, names["prefix"]: prefix, "kind": kind, "timeoutMs": timeoutMs, names["target"]: targetMs, "priority": 1,
		"service": service, "maxAttempts": attempts, "anonymous": false,
	}
	if kind == "stream" {
		one["resumable"], one[names["gap"]] = true, 200
	}
	return one
}

// configure writes a configuration.
func (p *platform) configure(version int, routes []map[string]any, services ...string) {
	var described []map[string]any
	for _, service := range services {
		described = append(described, map[string]any{"name": service, "healthPath": "/health", "maxConnections": 400, "protocol": "h1", "tls": false})
	}
	p.store.put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": described,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "hule930", names["keys"]: []string{tenantKey}}},
	})
}

// addEngines starts engines of a service.
func (p *platform) addEngines(count int, service, zone string, slots int, serve func(*engine, http.ResponseWriter, *http.Request)) error {
	for range count {
		e := &engine{platform: p, service: service, zone: zone, slots: slots, serve: serve}
		if err := e.start(); err != nil {
			return err
		}
		p.engines = append(p.engines, e)
	}
	return nil
}

// addDaemons starts daemons in zones, one in each, and waits until all are ready.
func (p *platform) addDaemons(zones ...string) error {
	for i, zone := range zones {
		d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.0.0.%d", 11+i)}
		d.base = freeBase(d.ip, 21000+40*(os.Getpid()%400))
		if err := d.writeSettings(p.root, p.folder, p.storeAddress); err != nil {
			return err
		}
		if err := d.start(p.root, p.folder); err != nil {
			return err
		}
		p.daemons = append(p.daemons, d)
	}
	for _, d := range p.daemons {
		if !d.awaitReady(15 * time.Second) {
			return fmt.Errorf("daemon %s is not ready", d.name)
		}
	}
	return nil
}

// stop ends everything that was started.
func (p *platform) stop() {
	for _, d := range p.daemons {
		d.kill()
	}
	for _, e := range p.engines {
		e.stop()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(p.folder))
	}
	_ = os.RemoveAll(filepath.Clean(p.folder))
}
