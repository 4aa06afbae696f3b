package passthrough

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/exchange"
	"chicoryhall.example/chicoryhall/quarantine"
)

const (
	// readinessDelay is how long the platform may still send new connections after the daemon reports that it
	// is not ready.
	readinessDelay = 2500 * time.Millisecond
	// drainCheckPeriod is the time between two checks whether draining is complete.
	drainCheckPeriod = 20 * time.Millisecond
	// lastAnswersTime bounds the wait until the callers of the requests that Drain ends have their answers.
	lastAnswersTime = 100 * time.Millisecond
	// An answer that is no stream is expected within graceFactor times its target latency.
	graceFactor = 3
	// retryAfterDraining is the Retry-After time once this daemon refuses new requests because it is draining. It
	// is short, as another daemon can take the request at once.
	retryAfterDraining = 50 * time.Millisecond
)

// Drain waits until all exchanges have ended. It keeps accepting requests for readinessDelay; then it refuses new ones and
// closes connections that are between two requests. Each connection is closed after its next answer. The exchanges that are in
// progress lastAnswersTime before the deadline of ctx, or when ctx is cancelled, are ended with an answer.
func (s *Server) Drain(ctx context.Context) {
	if deadline, limited := ctx.Deadline(); limited {
		stopAt := deadline.Add(-lastAnswersTime)
		s.stopAt.Store(&stopAt)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, stopAt)
		defer cancel()
	}
	s.draining.Store(true)
	startedAt := s.config.Timer.Now()
	drained := s.pollDrained(ctx, func() bool {
		if s.config.Timer.Now().Sub(startedAt) < readinessDelay {
			return false
		}
		// The platform sends no new connections by now, and later requests might not end in time.
		s.refusing.Store(true)
		return s.closeIdleCallerConnections()
	})
	if !drained {
		s.endExchanges()
	}
}

// pollDrained calls isDrained every drainCheckPeriod until it returns true. It returns false if ctx ends before.
func (s *Server) pollDrained(ctx context.Context, isDrained func() bool) bool {
	ticks := make(chan struct{}, 1)
	ticking := s.config.Timer.Every(drainCheckPeriod, func(time.Time) {
		select {
		case ticks <- struct{}{}:
		default:
		}
	})
	defer ticking.Cancel()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticks:
			if isDrained() {
				return true
			}
		}
	}
}

// endExchanges ends the exchanges in progress, as the process is about to end, and waits until their callers have been told.
func (s *Server) endExchanges() {
	s.refusing.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswersTime)
	defer cancel()
	s.stopExchanges()
	s.pollDrained(ctx, func() bool {
		s.stopExchanges() // Another one may have begun as this daemon began to refuse.
		return s.closeIdleCallerConnections()
	})
}

// stopExchanges has the exchanges in progress ended.
func (s *Server) stopExchanges() {
	s.mu.Lock()
	exchanges := slices.Collect(maps.Keys(s.exchanges))
	s.mu.Unlock()
	for _, x := range exchanges {
		x.conn.post(x.onStop)
	}
}

// IsDraining reports whether Drain has been called.
func (s *Server) IsDraining() bool { return s.draining.Load() }

// closeIdleCallerConnections closes the callers' connections that are between two requests. It reports whether no
// exchange is in progress and all answers have been sent.
func (s *Server) closeIdleCallerConnections() bool {
	s.mu.Lock()
	connections := slices.Collect(maps.Values(s.connections))
	busy := len(s.exchanges) > 0
	s.mu.Unlock()
	for _, conn := range connections {
		busy = busy || conn.unsent.Load() > 0
		conn.post(conn.closeIfIdle)
	}
	return !busy
}

// onStop ends the exchange as the process is about to end.
func (x *callerExchange) onStop() {
	if !x.finished {
		x.endNow(ending{
			lossCause: quarantine.LossUnrelated, unknownStatus: http.StatusBadGateway, retryAfter: retryAfterDraining, reason: "the daemon has stopped",
		})
	}
}

// lacksGrace reports whether the daemon is likely to stop before an attempt that begins now has given its answer, so that another daemon
// should take the request. It is false for a request that may have run, as only this daemon can go on with it.
func (x *callerExchange) lacksGrace() bool {
	stopAt := x.server.stopAt.Load()
	if stopAt == nil || !x.server.refusing.Load() || x.finalVerdict(false) != exchange.VerdictNotRun || x.deadline.Before(*stopAt) {
		return false
	}
	if x.rule.Kind == chicoryhall.ExchangeStream {
		return true
	}
	return stopAt.Sub(x.config().Timer.Now()) < graceFactor*x.rule.TargetLatency
}
