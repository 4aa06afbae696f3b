package requests

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/stream"
)

const (
	// probeTimeout is how long a probe waits for an answer.
	probeTimeout = 250 * time.Millisecond
	// maxProbes limits the probes of one endpoint. More than one are made only while this daemon is
	// late (see lagMonitor).
	maxProbes = 4
)

// probe checks over a new connection whether an engine answers.
func (r *Request) probe(attempt int, id chicoryhall.EndpointID, address string) {
	r.config().Engines.CloseIdle(address)
	r.service.background.Go(func() error {
		alive, gone := r.service.isAlive(address)
		if gone {
			r.post(message{run: func() { r.reportCrash(id) }})
		}
		r.postInput(stream.Input{Kind: stream.InputProbed, Attempt: attempt, Engine: id, Alive: alive})
		return nil
	})
}

// isAlive probes an endpoint; gone reports that no process serves its address. A probe that timed
// out while this daemon was late is inconclusive and is repeated. After maxProbes inconclusive ones
// the endpoint counts as not alive.
func (s *Service) isAlive(address string) (alive, gone bool) {
	for range maxProbes {
		began := s.config.Timer.Now()
		kind, failed := s.probeOnce(address)
		if !failed {
			return true, false
		}
		timedOut := kind == engine.FailureSilent || kind == engine.FailureUnreachable
		if !timedOut || !s.lag.wasLateSince(began, s.config.Timer.Now()) {
			return false, kind.IsGone()
		}
		s.config.Metrics.inconclusiveProbes().Inc()
	}
	return false, false
}

// probeOnce returns how a probe failed. An answer with any status counts as success.
func (s *Service) probeOnce(address string) (kind engine.FailureKind, failed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := s.config.Engines.Probe(ctx, address)
	if err == nil {
		return 0, false
	}
	var failure *engine.Error
	if !errors.As(err, &failure) {
		return engine.FailureMalformed, true
	}
	return failure.Kind(), failure.Kind() != engine.FailureStatus
}
