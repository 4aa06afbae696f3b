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
	// serveFuncs passes the function that accepts a listener's connections to Serve, which runs it. Listeners are
	// opened by Start and, when a cut ends, by SetFaults.
	serveFuncs chan func(context.Context) error
	// faultsMu serializes changes of faults.
	faultsMu sync.Mutex
}

// maxQueuedServeFuncs is the number of listeners that can be opened before Serve accepts on them. Opening more waits.
// It is more than the number of links, as Start opens them all at once.
const maxQueuedServeFuncs = 1024

// New returns a Proxy. Start makes it listen.
func New(timer chicoryhall.Timer, log *event.Logger) *Proxy {
	return &Proxy{log: log, relay: relay.New(timer), serveFuncs: make(chan func(context.Context) error, maxQueuedServeFuncs)}
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
		if err := p.openListener(link); err != nil {
			return err
		}
		p.log.Log(event.StandinServing, "proxy", link.Listen, "target", link.Target)
	}
	return nil
}

// openListener opens the link's listener and has Serve accept its connections.
func (p *Proxy) openListener(link *Link) error {
	serve, err := link.listen()
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

// Drain does nothing: the proxy has no requests of its own. Stop cuts the connections that it relays.
func (p *Proxy) Drain(context.Context) {}

// Stop closes all connections. The listeners are closed when Serve ends.
func (p *Proxy) Stop() { p.relay.Stop() }

// Faults are the faults of several links.
type Faults struct {
	// Links maps the actual listening address of a link to its faults.
	Links map[string]LinkFaults `json:"links"`
}

// Faults returns the current faults of all links.
func (p *Proxy) Faults() any {
	faults := Faults{Links: map[string]LinkFaults{}}
	for _, link := range p.links {
		link.mu.Lock()
		faults.Links[link.Listen] = link.faults
		link.mu.Unlock()
	}
	return faults
}

// SetFaults replaces the faults of the links that are named, so that fields left out end their fault, and leaves the
// other links unchanged. If it fails, some of the named links may already have their new faults.
func (p *Proxy) SetFaults(text []byte) error {
	var request Faults
	if err := json.Unmarshal(text, &request); err != nil {
		return err
	}
	p.faultsMu.Lock()
	defer p.faultsMu.Unlock()
	for listen, faults := range request.Links {
		link := p.linkAt(listen)
		if link == nil {
			return errors.Errorf("link %q does not exist", listen)
		}
		if err := p.setLinkFaults(link, faults); err != nil {
			return err
		}
	}
	return nil
}

// setLinkFaults replaces the faults of one link. If that begins or ends a cut, it closes or reopens the listener.
func (p *Proxy) setLinkFaults(link *Link, faults LinkFaults) error {
	link.mu.Lock()
	previous := link.faults
	link.faults = faults
	link.mu.Unlock()
	p.log.Log(event.StandinFaultSet, "link", link.Listen, "faults", faults)
	switch {
	case faults.Cut && !previous.Cut:
		link.cut()
	case previous.Cut && !faults.Cut:
		return p.openListener(link)
	}
	return nil
}

// linkAt returns the link with the given listening address, or nil.
func (p *Proxy) linkAt(listen string) *Link {
	for _, link := range p.links {
		if link.Listen == listen {
			return link
		}
	}
	return nil
}

// Ledger returns the ledgers of all links.
func (p *Proxy) Ledger() any {
	ledgers := make([]LinkLedger, 0, len(p.links))
	for _, link := range p.links {
		ledgers = append(ledgers, link.currentLedger())
	}
	return ledgers
}

// Act executes "silence" for the open connections of all links, or "silence/ADDRESS" for those of one link. It returns
// false for any other action.
func (p *Proxy) Act(action string) bool {
	const silence = "silence"
	found := false
	for _, link := range p.links {
		if action == silence || action == silence+"/"+link.Listen {
			link.silence()
			found = true
		}
	}
	return found
}
