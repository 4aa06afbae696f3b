package passthrough

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/exchange"
	"chicoryhall.example/chicoryhall/quarantine"
)

// The endpoints of a quiet stream are probed after this part of its target latency before the head, and of its target gap
// after it. If one of them cannot be reached, others can then go on before the target has passed.
const (
	headProbeFraction = 0.5
	gapProbeFraction  = 0.5
)

// probeRecord records which endpoints of an attempt were probed since its last progress.
type probeRecord struct {
	// since is the attempt's lastProgress at the first probe.
	since  time.Time
	probed []chicoryhall.EndpointID
	// nextAt is when to look at the other endpoints, or zero if there are none.
	nextAt time.Time
}

// mayBeProbed reports whether other endpoints may go on with the stream if those of the route cannot be reached.
func (a *attempt) mayBeProbed() bool {
	return a.exchange.rule.Kind == chicoryhall.ExchangeStream && a.exchange.machine.MayRetryLoss()
}

// quietTime returns the time without progress after which endpoints are probed.
func (a *attempt) quietTime() time.Duration {
	if a.forwarding {
		return time.Duration(gapProbeFraction * float64(a.exchange.rule.TargetGap))
	}
	return time.Duration(headProbeFraction * float64(a.exchange.rule.TargetLatency))
}

// probeAt returns when endpoints are probed unless more of the answer arrives before.
func (a *attempt) probeAt() (time.Time, bool) {
	switch {
	case !a.mayBeProbed():
		return time.Time{}, false
	case a.probes.since.Equal(a.lastProgress):
		return a.probes.nextAt, !a.probes.nextAt.IsZero()
	default:
		return a.lastProgress.Add(a.quietTime()), true
	}
}

// probe probes once each endpoint of the route that has made no progress for any request for quietTime. Endpoints that have
// are looked at again, as their last request may have ended just before they failed.
func (a *attempt) probe(now time.Time) {
	if !a.probes.since.Equal(a.lastProgress) {
		a.probes = probeRecord{since: a.lastProgress}
	}
	a.probes.nextAt = time.Time{}
	var quiet []chicoryhall.Hop
	for _, hop := range a.route.Hops {
		if slices.Contains(a.probes.probed, hop.Engine) {
			continue
		}
		if now.Sub(a.exchange.config().Endpoints.LastProgress(hop.Engine)) < a.quietTime() {
			a.probes.nextAt = now.Add(a.quietTime() / 2)
			continue
		}
		quiet = append(quiet, hop)
		a.probes.probed = append(a.probes.probed, hop.Engine)
	}
	if len(quiet) == 0 {
		return
	}
	since := a.lastProgress
	a.exchange.config().Prober.Probe(quiet, func(result ProbeResult) {
		a.post(func() { a.onProbed(result, len(quiet), since, now) })
	})
}

// onProbed ends the attempt, and all others of this daemon that use an endpoint that cannot be reached.
func (a *attempt) onProbed(result ProbeResult, probed int, since, probedAt time.Time) {
	unreachable := a.unreachable(result, probed, probedAt)
	a.exchange.config().Log.Log(event.EndpointsProbed, "request", a.exchange.callerHeaders.ID, "attempt", a.number, "quiet", probedAt.Sub(since),
		"route", routeText(a.route), "refused", result.Refused, "silent", result.Silent, "unreachable", unreachable)
	if len(unreachable) == 0 || a.lastProgress.After(since) {
		return
	}
	x := a.exchange
	for _, id := range unreachable {
		observed := chicoryhall.ObservedSilence
		if slices.Contains(result.Refused, id) {
			observed = chicoryhall.ObservedRefusedConnection
		}
		x.config().Endpoints.Observe(id, observed)
	}
	a.leave(unreachable)
	x.server.leaveUnreachable(unreachable, probedAt)
}

// leaveUnreachable ends all attempts that use one of the given endpoints and have made no progress since the given time, if
// other endpoints may go on with them.
func (s *Server) leaveUnreachable(unreachable []chicoryhall.EndpointID, since time.Time) {
	for _, x := range s.exchangesInProgress() {
		x.conn.post(func() {
			if a := x.current; a != nil && a.mayBeProbed() && !a.lastProgress.After(since) {
				a.leave(unreachable)
			}
		})
	}
}

// leave fails the attempt if its route contains any of the given endpoints, which cannot be reached.
func (a *attempt) leave(unreachable []chicoryhall.EndpointID) {
	x := a.exchange
	var left []chicoryhall.EndpointID
	for _, hop := range a.route.Hops {
		if slices.Contains(unreachable, hop.Engine) {
			left = append(left, hop.Engine)
		}
	}
	if len(left) == 0 {
		return
	}
	x.excluded = append(x.excluded, left...)
	if left[0] == a.route.Hops[0].Engine {
		x.server.pool.closeIdleConnections(a.route.Hops[0].Address)
	}
	a.lossCause = quarantine.LossSilent
	quiet := x.config().Timer.Now().Sub(a.lastProgress).Round(time.Millisecond)
	a.fail(exchange.FailureLost, errors.Errorf("no progress for %s, and no connection to %s", quiet, left))
}

// unreachable returns those of the probed endpoints that cannot be reached. If none of them has answered, nor any other
// endpoint since the probe began, the cause may be the link of this daemon, so that silent ones do not count.
func (a *attempt) unreachable(result ProbeResult, probed int, probedAt time.Time) []chicoryhall.EndpointID {
	mayBeCutOff := len(result.Silent) == probed && !a.exchange.server.progressedAfter(probedAt)
	if mayBeCutOff {
		return nil
	}
	return slices.Concat(result.Refused, result.Silent)
}
