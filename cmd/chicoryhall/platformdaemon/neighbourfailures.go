package platformdaemon

import (
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/neighbour"
)

// onFailure plans a call that tells a neighbour of a new failure at once.
func (n *neighbours) onFailure() {
	n.metrics.GetOrCreateCounter(`chicoryhall_endpoint_failures_told_total`).Inc()
	n.planExtraCall()
}

// planExtraCall plans a call beyond the periodic ones, unless there is one already.
func (n *neighbours) planExtraCall() {
	delay, isNew := n.extraCalls.Plan(n.timer.Now())
	if !isNew {
		return
	}
	n.timer.After(delay, func(now time.Time) {
		n.extraCalls.Begin(now)
		n.metrics.GetOrCreateCounter(`chicoryhall_neighbour_extra_calls_total`).Inc()
		signal(n.due)
	})
}

// ownFailures returns what this daemon tells of the endpoints: those that fail, and those reported by others that work.
func (n *neighbours) ownFailures() (failures, working []neighbour.Failure) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return neighbour.FailuresOf(n.endpoints.Failures(), 0), neighbour.FailuresOf(n.working, n.timer.Now().Sub(n.workingAt))
}

// exchangeFailures records what a neighbour tells of the endpoints, and returns what the others have told. A daemon that is its own
// reader applies it at once; one that follows another daemon gets the failures of all from there.
func (n *neighbours) exchangeFailures(from chicoryhall.DaemonID, request neighbour.SyncRequest, now time.Time) []neighbour.Failure {
	failures, working := n.ownFailures()
	n.failures.Tell(n.self.ID, failures, working, now)
	n.failures.Tell(from, request.Failures, request.Working, now)
	if len(request.Failures) > 0 && !n.store.IsFollowing() {
		n.applyFailures(n.failures.Others(n.self.ID, now), 0)
	}
	return n.failures.Others(from, now)
}

// applyFailures applies what the other daemons have told, which was on its way for at most the given time. If endpoints among them work
// by this daemon's traffic, it says so at once.
func (n *neighbours) applyFailures(told []neighbour.Failure, onTheWay time.Duration) {
	heard, working := n.endpoints.ReportFailures(neighbour.EndpointFailures(told, onTheWay))
	n.metrics.GetOrCreateCounter(`chicoryhall_endpoint_failures_heard_total`).Add(heard)
	n.metrics.GetOrCreateCounter(`chicoryhall_endpoint_failures_contradicted_total`).Add(len(working))
	n.mu.Lock()
	isNew := slices.ContainsFunc(working, func(w chicoryhall.EndpointFailure) bool {
		return !slices.ContainsFunc(n.working, func(old chicoryhall.EndpointFailure) bool { return old.Endpoint == w.Endpoint })
	})
	n.working, n.workingAt = working, n.timer.Now()
	n.mu.Unlock()
	if isNew {
		n.planExtraCall()
	}
}
