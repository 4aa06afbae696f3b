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
	// serveFuncs receives a function for each opened listener, which Serve runs.
	serveFuncs chan func(context.Context) error
	// faultsMu serializes changes of faults.
	faultsMu sync.Mutex
}

// maxQueuedListeners bounds the opened listeners that Serve has not taken up yet.
const maxQueuedListeners = 1024

// New returns a Proxy. Start makes it listen.
func New(timer chicoryhall.Timer, log *event.Logger) *Proxy {
	return &Proxy{log: log, relay: relay.New(timer), serveFuncs: make(chan func(context.Context) error, maxQueuedListeners)}
}

// Add adds a link from a listening address to a target.
func (p *Proxy) Add(listen, target string) {
	p.links = append(p.links, &Link{Listen: listen, Target: target, relay: p.relay, pairs: map[*relay.Pair]bool{}})
}

// Start starts listening on all links.
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
	p.serveFuncs <- serve
	return nil
}

// Serve accepts connections until ctx is done.
func (p *Proxy) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case serve := <-p.serveFuncs:
			group.Go(func() error { return serve(ctx) })
		}
	}
}

// Drain returns at once, as the proxy has no work to finish.
func (p *Proxy) Drain(context.Context) {}

// Stop closes all connections.
func (p *Proxy) Stop() { p.relay.Stop() }

// Faults maps the listening addresses of links to their faults.
type Faults struct {
	Links map[string]LinkFaults `json:"links"`
}

// Faults returns the current faults.
func (p *Proxy) Faults() any {
	faults := Faults{Links: map[string]LinkFaults{}}
	for _, link := range p.links {
		link.mu.Lock()
		faults.Links[link.Listen] = link.faults
		link.mu.Unlock()
	}
	return faults
}

// SetFaults sets the faults of the links that are named and leaves the others unchanged.
func (p *Proxy) SetFaults(text []byte) error {
	var faults Faults
	if err := json.Unmarshal(text, &faults); err != nil {
		return err
	}
	p.faultsMu.Lock()
	defer p.faultsMu.Unlock()
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
	previous := link.faults
	link.faults = wanted
	link.mu.Unlock()
	p.log.Log(event.StandinFaultSet, "link", link.Listen, "faults", wanted)
	switch {
	case wanted.Cut && !previous.Cut:
		link.cut()
	case previous.Cut && !wanted.Cut:
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

// Ledger returns the ledgers of all links.
func (p *Proxy) Ledger() any {
	ledger := make([]LinkLedger, 0, len(p.links))
	for _, link := range p.links {
		ledger = append(ledger, link.snapshot())
	}
	return ledger
}

// Act executes "silence" for the open connections of all links, or "silence/ADDRESS" for those of one link. It returns
// false for any other action.
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
