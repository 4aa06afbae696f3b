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
	// probeTimeout is the time that a live endpoint needs at most to answer on a new connection.
	probeTimeout = 250 * time.Millisecond
	// maxProbes bounds the probes of one endpoint while this daemon itself is late.
	maxProbes = 4
)

// probe asks over a new connection whether an engine answers.
func (r *Request) probe(attempt int, id chicoryhall.EndpointID, address string) {
	r.parts().Engines.CloseIdle(address)
	r.service.work.Go(func() error {
		alive, gone := r.service.isAlive(address)
		if gone {
			r.post(message{call: func() { r.crashed(id) }})
		}
		r.answer(stream.Input{Kind: stream.InputProbed, Attempt: attempt, Engine: id, Alive: alive})
		return nil
	})
}

// isAlive probes an endpoint; gone tells that no process serves there. A probe that timed out while
// this daemon was late proves nothing and is repeated.
func (s *Service) isAlive(address string) (alive, gone bool) {
	for range maxProbes {
		began := s.parts.Timer.Now()
		kind, failed := s.probeOnce(address)
		if !failed {
			return true, false
		}
		timedOut := kind == engine.FailureSilent || kind == engine.FailureUnreachable
		if !timedOut || !s.lag.lateSince(began, s.parts.Timer.Now()) {
			return false, kind.IsGone()
		}
		s.parts.Metrics.inconclusiveProbes().Inc()
	}
	return false, false
}

// probeOnce returns how a probe failed; an answer of any status is none.
func (s *Service) probeOnce(address string) (kind engine.FailureKind, failed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := s.parts.Engines.Probe(ctx, address)
	if err == nil {
		return 0, false
	}
	var failure *engine.Error
	if !errors.As(err, &failure) {
		return engine.FailureMalformed, true
	}
	return failure.Kind(), failure.Kind() != engine.FailureStatus
}
