package platformdaemon

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/watch"
)

const (
	// crashProbeDelay is the time from a loss to the probe of its endpoints. If there was progress meanwhile, this daemon
	// may only have read late what an endpoint had sent before it crashed, so the probe waits for crashProbeRecheck.
	crashProbeDelay   = 50 * time.Millisecond
	crashProbeRecheck = 100 * time.Millisecond
	// crashProbePause is the least time between two probes of one endpoint.
	crashProbePause = 2 * time.Second
	// massFailureWindow is the time within which crashes are assumed to have a common cause.
	massFailureWindow = 500 * time.Millisecond
)

// crashes notices that endpoints have ended under requests of this daemon. It learns of them from lost attempts, whose
// endpoints it probes, and from the list of endpoints.
type crashes struct {
	timer     chicoryhall.Timer
	endpoints *watch.ListedEndpoints
	log       *event.Logger
	count     *metrics.Counter
	// onExplained is called with a crash and the losses that it explains.
	onExplained func(quarantine.Incarnation, []quarantine.Loss)
	// probeAddress opens a connection to an address.
	probeAddress func(context.Context, string) crashProbe
	probes       errgroup.Group

	mu     sync.Mutex
	losses *quarantine.Losses
	// probedAt is when each endpoint was last probed.
	probedAt map[chicoryhall.EndpointID]time.Time
}

func newCrashes(timer chicoryhall.Timer, endpoints *watch.ListedEndpoints, set *metrics.Set, log *event.Logger) *crashes {
	c := &crashes{
		timer: timer, endpoints: endpoints, log: log, count: set.NewCounter("chicoryhall_endpoint_crashes_total"),
		probeAddress: newEndpointProbe(nil), losses: quarantine.NewLosses(), probedAt: make(map[chicoryhall.EndpointID]time.Time),
	}
	endpoints.Subscribe(c.onEndpoint)
	return c
}

// String returns the name under which the supervisor logs this service.
func (c *crashes) String() string { return "crashes" }

// Serve waits for the probes in progress when ctx ends.
func (c *crashes) Serve(ctx context.Context) error {
	<-ctx.Done()
	_ = c.probes.Wait() // The functions return no errors.
	return ctx.Err()
}

// Lost records a lost attempt and looks for a crash of its endpoints if the loss may be due to one.
func (c *crashes) Lost(loss quarantine.Loss) {
	c.mu.Lock()
	crashed := c.losses.Add(loss)
	c.mu.Unlock()
	for _, crash := range crashed {
		c.report(crash, []quarantine.Loss{loss})
		loss.Explained = true
	}
	if loss.Cause != quarantine.LossUnrelated {
		c.timer.After(crashProbeDelay, func(now time.Time) { c.probeLoss(loss, now) })
	}
}

// probeLoss probes the endpoints of a loss. If a connection broke, the first endpoint of the route is the likely cause, so
// the others are probed only if it is alive.
func (c *crashes) probeLoss(loss quarantine.Loss, now time.Time) {
	if loss.Cause == quarantine.LossBroken {
		first, others := loss.Stages[:1], loss.Stages[1:]
		c.probeSilent(first, loss.LostAt, now, func() { c.probeSilent(others, loss.LostAt, c.timer.Now(), func() {}) })
		return
	}
	c.probeSilent(loss.Stages, loss.LostAt, now, func() {})
}

// probeSilent probes those stages whose endpoints have made no progress since a loss, and calls onAlive for each that
// turns out to be alive. Where there was some, it looks again later.
func (c *crashes) probeSilent(stages []quarantine.Stage, lostAt, now time.Time, onAlive func()) {
	for _, stage := range stages {
		if progress := c.endpoints.LastProgress(stage.Endpoint); !progress.After(lostAt) {
			c.probe(stage, now, onAlive)
		} else {
			c.recheck(stage, progress, onAlive)
		}
	}
}

// recheck probes an endpoint after crashProbeRecheck unless it has made progress since the given time.
func (c *crashes) recheck(stage quarantine.Stage, since time.Time, onAlive func()) {
	c.timer.After(crashProbeRecheck, func(now time.Time) {
		if !c.endpoints.LastProgress(stage.Endpoint).After(since) {
			c.probe(stage, now, onAlive)
		}
	})
}

// probe probes an endpoint. If that was done recently, it does so again after a pause, as the endpoint may have crashed
// since.
func (c *crashes) probe(stage quarantine.Stage, now time.Time, onAlive func()) {
	if c.mayProbe(stage.Endpoint, now) {
		c.probeNow(stage, onAlive)
		return
	}
	c.timer.After(crashProbePause, func(now time.Time) {
		if !c.isCrashed(stage.Incarnation) && c.mayProbe(stage.Endpoint, now) {
			c.probeNow(stage, onAlive)
		}
	})
}

// mayProbe reports whether the last probe of an endpoint is long enough ago, and if so, records a new one.
func (c *crashes) mayProbe(id chicoryhall.EndpointID, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last, probed := c.probedAt[id]; probed && now.Sub(last) < crashProbePause {
		return false
	}
	c.probedAt[id] = now
	return true
}

// pending returns what the losses show of a fingerprint before their cause is known.
func (c *crashes) pending(fingerprint quarantine.Fingerprint, now time.Time) quarantine.Pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.losses.Pending(fingerprint, c.endpoints.LastProgress, now)
}

func (c *crashes) isCrashed(incarnation quarantine.Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.losses.Crashed(incarnation)
}

func (c *crashes) probeNow(stage quarantine.Stage, onAlive func()) {
	c.probes.Go(func() error {
		switch c.probeAddress(context.Background(), stage.Address) {
		case probeGone:
			c.endpoints.MarkUnreachable(stage.Endpoint)
			c.handleCrash(stage.Incarnation)
		case probeAlive:
			onAlive()
		case probeUnclear:
			c.endpoints.MarkUnreachable(stage.Endpoint)
		}
		return nil
	})
}

// onEndpoint handles a change of an endpoint in the list. Another incarnation, or another endpoint at its address, shows
// that the one before has crashed. An endpoint that was removed may still work, so it is probed.
func (c *crashes) onEndpoint(id chicoryhall.EndpointID, state chicoryhall.EndpointState) {
	now := c.timer.Now()
	address, listedAt := c.endpoints.ListedAt(id)
	c.mu.Lock()
	lost, ended := c.losses.Unexplained(id, now), c.losses.Superseded(id, address, listedAt, now)
	c.mu.Unlock()
	for _, stage := range ended {
		c.handleCrash(stage.Incarnation)
	}
	if len(lost) == 0 {
		return
	}
	current := c.endpoints.View(id).Load.Incarnation
	for _, stage := range lost {
		switch {
		case state == chicoryhall.EndpointDead:
			c.probeRemoved(stage)
		case stage.Number != current:
			c.handleCrash(stage.Incarnation)
		}
	}
}

// probeRemoved probes an endpoint that is no longer listed. It has crashed unless it answers.
func (c *crashes) probeRemoved(stage quarantine.Stage) {
	c.probes.Go(func() error {
		if c.probeAddress(context.Background(), stage.Address) != probeAlive {
			c.handleCrash(stage.Incarnation)
		}
		return nil
	})
}

// handleCrash attributes the crash of an endpoint to the requests that were lost there.
func (c *crashes) handleCrash(crash quarantine.Incarnation) {
	lastProgress := c.endpoints.LastProgress(crash.Endpoint)
	c.mu.Lock()
	explained := c.losses.AddCrash(crash, lastProgress, c.timer.Now())
	c.mu.Unlock()
	if len(explained) > 0 {
		c.count.Inc()
		c.report(crash, explained)
	}
}

// report logs the requests that were lost in the crash of an endpoint, and passes them on.
func (c *crashes) report(crash quarantine.Incarnation, explained []quarantine.Loss) {
	fingerprints := make([]quarantine.Fingerprint, 0, len(explained))
	for _, loss := range explained {
		fingerprints = append(fingerprints, loss.Fingerprint)
	}
	c.log.Log(event.EndpointCrashed, "endpoint", crash.Endpoint, "incarnation", crash.Number,
		"requests", len(explained), "fingerprints", fingerprints, "parts", partsOf(explained))
	c.onExplained(crash, explained)
}

// crashedElsewhere reports whether an endpoint on which the lost attempt did not run has crashed at about the same time.
func (c *crashes) crashedElsewhere(loss quarantine.Loss, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.losses.CrashedElsewhere(loss, massFailureWindow, now)
}

// unreachable returns those endpoints of a route that are known to have crashed, or else those that do not answer a probe.
func (c *crashes) unreachable(stages []quarantine.Stage) []chicoryhall.EndpointID {
	var gone []chicoryhall.EndpointID
	c.mu.Lock()
	for _, stage := range stages {
		if c.losses.Crashed(stage.Incarnation) {
			gone = append(gone, stage.Endpoint)
		}
	}
	c.mu.Unlock()
	if len(gone) > 0 {
		return gone
	}
	results := make([]crashProbe, len(stages))
	var probes errgroup.Group
	for i, stage := range stages {
		probes.Go(func() error {
			results[i] = c.probeAddress(context.Background(), stage.Address)
			return nil
		})
	}
	_ = probes.Wait() // The functions return no errors.
	for i, stage := range stages {
		if results[i] != probeAlive {
			gone = append(gone, stage.Endpoint)
		}
	}
	return gone
}
