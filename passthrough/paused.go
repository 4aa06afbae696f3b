package passthrough

import (
	"net/http"
	"time"
)

const (
	// Callers that are told to return at the end of a pause are spread over a part of it, pauseSpread, of at most
	// maxPauseSpread, so that not all of them come at once.
	pauseSpread    = 0.25
	maxPauseSpread = time.Second
)

// retryAfterPause returns when a caller may return if all endpoints of the service want no requests now: soon after the first
// pause is over. Otherwise it returns the given time.
func (x *callerExchange) retryAfterPause(otherwise time.Duration) time.Duration {
	until, all := x.config().Endpoints.AllPaused(x.service)
	if !all {
		return otherwise
	}
	left := until.Sub(x.config().Timer.Now())
	spread := min(maxPauseSpread, time.Duration(pauseSpread*float64(left)))
	return left + time.Duration(x.server.randomFloat()*float64(spread))
}

// refuseDuringPause refuses the request at once if all endpoints want none for longer than it may wait. It reports whether it has.
func (x *callerExchange) refuseDuringPause() bool {
	until, all := x.config().Endpoints.AllPaused(x.service)
	latest := x.startedAt.Add(x.maxAdmissionWait())
	if !all || !until.After(latest) && until.Before(x.deadline) {
		return false
	}
	x.refuse(http.StatusServiceUnavailable, x.retryAfterPause(retryAfterNoRoute), "all endpoints want no requests now")
	return true
}
