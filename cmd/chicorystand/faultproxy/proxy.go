package faultproxy

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/relay"
	"chicoryhall.example/chicoryhall/event"
)

// Proxy is a set of links in one process.
type Proxy struct {
	log   *event.Logger
	relay *relay.Relay
	links []*Link
	// listeners are the functions that serve a listener just opened.
	listeners chan func(context.Context) error
	// setting orders the changes of faults.
	setting sync.Mutex
}

// maxListeners bounds the listeners that wait to be served.
const maxListeners = 1024

// New returns a Proxy that listens once Start is called.
func New(timer chicoryhall.Timer, log *event.Logger) *Proxy {
	return &Proxy{log: log, relay: relay.New(timer), listeners: make(chan func(context.Context) error, maxListeners)}
}

// Add adds a link from a listening address to a target.
func (p *Proxy) Add(listen, target string) {
	p.links = append(p.links, &Link{Listen: listen, Target: target, relay: p.relay, pairs: map[*relay.Pair]bool{}})
}

// Start begins to listen on all links.
func (p *Proxy) Start() error {
	if err := p.relay.Start(); err != nil {
		return err
	}
	for _, link := range p.links {
		if err := p.open(link); err != nil {
			return err
		}
		p.log.Log(event.StandinServing, "proxy", link.Listen, "target", link.Target)
	}
	return nil
}

func (p *Proxy) open(link *Link) error {
	serve, err := link.open()
	if err != nil {
		return err
	}
	p.listeners <- serve
	return nil
}

// Serve accepts connections until ctx ends.
func (p *Proxy) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case serve := <-p.listeners:
			group.Go(func() error { return serve(ctx) })
		}
	}
}

// Drain has nothing to finish.
func (p *Proxy) Drain(context.Context) {}

// Stop closes all connections.
func (p *Proxy) Stop() { p.relay.Stop() }

// Faults are the faults of the links by listening address.
type Faults struct {
	Links map[string]LinkFaults `json:"links"`
}

// Faults returns the faults set.
func (p *Proxy) Faults() any {
	faults := Faults{Links: map[string]LinkFaults{}}
	for _, link := range p.links {
		link.mu.Lock()
		faults.Links[link.Listen] = link.faults
		link.mu.Unlock()
	}
	return faults
}

// SetFaults sets the faults of the links that are named and leaves the others.
func (p *Proxy) SetFaults(text []byte) error {
	var faults Faults
	if err := json.Unmarshal(text, &faults); err != nil {
		return err
	}
	p.setting.Lock()
	defer p.setting.Unlock()
	for listen, wanted := range faults.Links {
		link := p.find(listen)
		if link == nil {
			return errors.Errorf("link %q does not exist", listen)
		}
		if err := p.set(link, wanted); err != nil {
			return err
		}
	}
	return nil
}

func (p *Proxy) set(link *Link, wanted LinkFaults) error {
	link.mu.Lock()
	was := link.faults
	link.faults = wanted
	link.mu.Unlock()
	p.log.Log(event.StandinFaultSet, "link", link.Listen, "faults", wanted)
	switch {
	case wanted.Cut && !was.Cut:
		link.cut()
	case was.Cut && !wanted.Cut:
		return p.open(link)
	}
	return nil
}

func (p *Proxy) find(listen string) *Link {
	for _, link := range p.links {
		if link.Listen == listen {
			return link
		}
	}
	return nil
}

// Ledger returns what the links passed on.
func (p *Proxy) Ledger() any {
	ledger := make([]LinkLedger, 0, len(p.links))
	for _, link := range p.links {
		ledger = append(ledger, link.counts())
	}
	return ledger
}

// Act silences the open connections of all links, or of the one named behind "silence/".
func (p *Proxy) Act(action string) bool {
	const silence = "silence"
	done := false
	for _, link := range p.links {
		if action == silence || action == silence+"/"+link.Listen {
			link.silence()
			done = true
		}
	}
	return done
}
