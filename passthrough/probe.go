package passthrough

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/exchange"
	"chicoryhall.example/chicoryhall/quarantine"
)

// The endpoints of a quiet stream are probed after this part of its target latency before the head, and of its target gap
// after it. If one of them cannot be reached, others can then go on before the target has passed.
const (
	headProbeFraction = 0.5
	gapProbeFraction  = 0.5
)

// mayBeProbed reports whether other endpoints may go on with the stream if those of the route cannot be reached.
func (a *attempt) mayBeProbed() bool {
	return a.exchange.rule.Kind == chicoryhall.ExchangeStream && a.exchange.machine.MayRetryLoss()
}

// probeAt returns when the endpoints are probed unless more of the answer arrives before. They are probed once after each
// piece.
func (a *attempt) probeAt() (time.Time, bool) {
	x := a.exchange
	if !a.mayBeProbed() || a.probedAfter.Equal(a.lastProgress) {
		return time.Time{}, false
	}
	quiet := headProbeFraction * float64(x.rule.TargetLatency)
	if a.forwarding {
		quiet = gapProbeFraction * float64(x.rule.TargetGap)
	}
	return a.lastProgress.Add(time.Duration(quiet)), true
}

// probe probes those endpoints of the route that have made no progress for any request since the attempt's last.
func (a *attempt) probe(now time.Time) {
	since := a.lastProgress
	a.probedAfter = since
	var quiet []chicoryhall.Hop
	for _, hop := range a.route.Hops {
		if !a.exchange.config().Endpoints.LastProgress(hop.Engine).After(since) {
			quiet = append(quiet, hop)
		}
	}
	if len(quiet) == 0 {
		return
	}
	a.exchange.config().Prober.Probe(quiet, func(result ProbeResult) {
		a.post(func() { a.onProbed(result, since, now) })
	})
}

// onProbed ends the attempt, and all others of this daemon that use an endpoint that cannot be reached.
func (a *attempt) onProbed(result ProbeResult, since, probedAt time.Time) {
	unreachable := a.unreachable(result, probedAt)
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

// unreachable returns the endpoints that a probe did not reach. If none of the route's endpoints has answered, nor any other
// since the probe began, the cause may be the link of this daemon, so that only those count at whose address nothing
// listens.
func (a *attempt) unreachable(result ProbeResult, probedAt time.Time) []chicoryhall.EndpointID {
	isCutOff := len(result.Silent) == len(a.route.Hops) && !a.exchange.server.progressedAfter(probedAt)
	if isCutOff {
		return result.Refused
	}
	return slices.Concat(result.Refused, result.Silent)
}
