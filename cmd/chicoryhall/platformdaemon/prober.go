package platformdaemon

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/passthrough"
)

const (
	// reachTimeout is the time in which an endpoint must accept a connection. It exceeds the delays between failure
	// domains several times.
	reachTimeout = 30 * time.Millisecond
	// probeReuse is how long the result of a probe is used for other requests too.
	probeReuse = 100 * time.Millisecond
)

// prober is a passthrough.Prober. As the streams of a route fall quiet together, it shares the probes of an endpoint.
type prober struct {
	timer  chicoryhall.Timer
	probes errgroup.Group

	mu sync.Mutex
	// recent are the probes that are in progress or have ended within probeReuse, by address.
	recent map[string]*sharedProbe
}

// sharedProbe is the probe of one endpoint. Its result is set before ended is closed.
type sharedProbe struct {
	ended  chan struct{}
	result crashProbe
}

func newProber(timer chicoryhall.Timer) *prober {
	return &prober{timer: timer, recent: make(map[string]*sharedProbe)}
}

// String returns the name under which the supervisor logs this service.
func (p *prober) String() string { return "prober" }

// Serve waits for the probes in progress when ctx ends.
func (p *prober) Serve(ctx context.Context) error {
	<-ctx.Done()
	_ = p.probes.Wait() // The functions return no errors.
	return ctx.Err()
}

// Probe implements passthrough.Prober.
func (p *prober) Probe(hops []chicoryhall.Hop, done func(passthrough.ProbeResult)) {
	shared := make([]*sharedProbe, len(hops))
	for i, hop := range hops {
		shared[i] = p.start(hop.Address)
	}
	p.probes.Go(func() error {
		done(await(hops, shared))
		return nil
	})
}

// await waits for the probes of the endpoints of hops.
func await(hops []chicoryhall.Hop, shared []*sharedProbe) passthrough.ProbeResult {
	var result passthrough.ProbeResult
	for i, hop := range hops {
		<-shared[i].ended
		switch shared[i].result {
		case probeGone:
			result.Refused = append(result.Refused, hop.Engine)
		case probeUnclear:
			result.Silent = append(result.Silent, hop.Engine)
		case probeAlive:
		}
	}
	return result
}

// start starts a probe of an address, unless there is a recent one.
func (p *prober) start(address string) *sharedProbe {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.recent[address]; known != nil {
		return known
	}
	probe := &sharedProbe{ended: make(chan struct{})}
	p.recent[address] = probe
	p.probes.Go(func() error {
		probe.result = probeEndpoint(context.Background(), address, reachTimeout)
		close(probe.ended)
		p.timer.After(probeReuse, func(time.Time) { p.forget(address) })
		return nil
	})
	return probe
}

func (p *prober) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.recent, address)
}
