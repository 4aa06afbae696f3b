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
	// crashProbeDelay is the time from a loss to the probe of its endpoints. An endpoint that makes progress meanwhile
	// is not probed.
	crashProbeDelay = 50 * time.Millisecond
	// crashProbePause is the least time between two probes of one endpoint.
	crashProbePause = time.Second
)

// crashes notices that endpoints have ended under requests of this daemon. It learns of them from lost attempts, whose
// endpoints it probes, and from the list of endpoints.
type crashes struct {
	timer     chicoryhall.Timer
	endpoints *watch.ListedEndpoints
	log       *event.Logger
	count     *metrics.Counter
	probes    errgroup.Group

	mu     sync.Mutex
	losses *quarantine.Losses
	// probedAt is when each endpoint was last probed.
	probedAt map[chicoryhall.EndpointID]time.Time
}

func newCrashes(timer chicoryhall.Timer, endpoints *watch.ListedEndpoints, set *metrics.Set, log *event.Logger) *crashes {
	c := &crashes{
		timer: timer, endpoints: endpoints, log: log, count: set.NewCounter("chicoryhall_endpoint_crashes_total"),
		losses: quarantine.NewLosses(), probedAt: make(map[chicoryhall.EndpointID]time.Time),
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

// Lost records a lost attempt and looks for a crash of its endpoints.
func (c *crashes) Lost(loss quarantine.Loss) {
	c.mu.Lock()
	crashed := c.losses.Add(loss)
	c.mu.Unlock()
	for _, crash := range crashed {
		c.report(crash, []quarantine.Loss{loss})
	}
	c.timer.After(crashProbeDelay, func(now time.Time) { c.probeSilent(loss, now) })
}

// probeSilent probes the endpoints of a loss that have not made progress since.
func (c *crashes) probeSilent(loss quarantine.Loss, now time.Time) {
	for i, endpoint := range loss.Endpoints {
		if !c.endpoints.LastProgress(endpoint.Endpoint).After(loss.LostAt) {
			c.probe(endpoint, loss.Addresses[i], now)
		}
	}
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

// probe probes an endpoint unless that was done recently.
func (c *crashes) probe(endpoint quarantine.Crash, address string, now time.Time) {
	if !c.mayProbe(endpoint.Endpoint, now) {
		return
	}
	c.probes.Go(func() error {
		if probeEndpoint(context.Background(), address) == probeGone {
			c.handleCrash(endpoint)
		}
		return nil
	})
}

// onEndpoint handles a change of an endpoint in the list. Another incarnation shows that the one before has crashed. An
// endpoint that was removed may still work, so it is probed.
func (c *crashes) onEndpoint(id chicoryhall.EndpointID, state chicoryhall.EndpointState) {
	now := c.timer.Now()
	c.mu.Lock()
	lost := c.losses.Unexplained(id, now)
	c.mu.Unlock()
	if len(lost) == 0 {
		return
	}
	current := c.endpoints.View(id).Load.Incarnation
	for endpoint, address := range lost {
		switch {
		case state == chicoryhall.EndpointDead:
			c.probe(endpoint, address, now)
		case endpoint.Incarnation != current:
			c.handleCrash(endpoint)
		}
	}
}

// handleCrash attributes the crash of an endpoint to the requests that were lost there.
func (c *crashes) handleCrash(crash quarantine.Crash) {
	lastProgress := c.endpoints.LastProgress(crash.Endpoint)
	c.mu.Lock()
	explained := c.losses.AddCrash(crash, lastProgress, c.timer.Now())
	c.mu.Unlock()
	if len(explained) > 0 {
		c.count.Inc()
		c.report(crash, explained)
	}
}

// report logs the requests that were lost in the crash of an endpoint.
func (c *crashes) report(crash quarantine.Crash, explained []quarantine.Loss) {
	fingerprints := make([]quarantine.Fingerprint, 0, len(explained))
	for _, loss := range explained {
		fingerprints = append(fingerprints, loss.Fingerprint)
	}
	c.log.Log(event.EndpointCrashed, "endpoint", crash.Endpoint, "incarnation", crash.Incarnation,
		"requests", len(explained), "fingerprints", fingerprints)
}
