package hall

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// fullPercent is 100 percent.
const fullPercent = 100

// Statement records what an endpoint has said of itself in an answer to a daemon: that it wants nothing from there until a
// time, or that it is leaving.
type Statement struct {
	Endpoint string `json:"engine"`
	// Address is that of the endpoint, which it keeps when it starts again.
	Address string `json:"address"`
	// Born is when the endpoint's process was started, in Unix milliseconds.
	Born int64 `json:"born"`
	// From is the IP address that the daemon's connections come from.
	From    string `json:"from"`
	Leaving bool   `json:"leaving"`
	// AtMillis and UntilMillis are Unix times in milliseconds. UntilMillis is 0 if the endpoint is leaving.
	AtMillis    int64 `json:"atMillis"`
	UntilMillis int64 `json:"untilMillis"`
}

// sourceOf returns the IP address that a request comes from.
func sourceOf(r *http.Request) string {
	host, _, _ := net.SplitHostPort(r.RemoteAddr) // The address of a TCP connection has a port.
	return host
}

// refuseWithPause refuses some requests, and all those of a daemon that the endpoint has asked for a pause which is not over.
// It reports whether it has refused this one.
func (e *Endpoint) refuseWithPause(w http.ResponseWriter, r *http.Request) bool {
	now := time.Now()
	left := e.pauseLeft(sourceOf(r), now)
	if left <= 0 {
		return false
	}
	e.platform.statements.add(Statement{
		Endpoint: e.id(), Address: e.settings.Address, Born: e.bornAt(), From: sourceOf(r),
		AtMillis: now.UnixMilli(), UntilMillis: now.Add(left).UnixMilli(),
	})
	w.Header().Set("Retry-After", fmt.Sprintf("%.3f", left.Seconds()))
	refuseWithoutRunning(w, http.StatusServiceUnavailable, nil)
	return true
}

// pauseLeft returns how long the endpoint wants nothing from a daemon. It begins a pause for some requests.
func (e *Endpoint) pauseLeft(from string, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if left := e.unwantedUntil[from].Sub(now); left > 0 {
		return left
	}
	if rand.IntN(fullPercent) >= e.settings.PausePercent {
		return 0
	}
	pause := time.Duration(e.settings.PauseMillis * float64(time.Millisecond))
	e.unwantedUntil[from] = now.Add(pause)
	return pause
}

// Depart makes the endpoint say in its answers that it is leaving, while it goes on serving and its entry stays as it is.
func (e *Endpoint) Depart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.departing = true
}

// stateLeaving adds the header that says that the endpoint is leaving, if it is.
func (e *Endpoint) stateLeaving(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	departing := e.departing
	e.mu.Unlock()
	if departing {
		w.Header().Set("Server-Leaving", "1")
		e.platform.statements.add(Statement{
			Endpoint: e.id(), Address: e.settings.Address, Born: e.bornAt(), From: sourceOf(r), Leaving: true, AtMillis: time.Now().UnixMilli(),
		})
	}
}

// Vanish removes the endpoint's entry from the store for some time.
func (e *Endpoint) Vanish(duration time.Duration) {
	e.platform.store.Drop("servers", e.id())
	e.platform.after(duration, func() {
		if !e.isUnresponsive() {
			e.platform.stopOnError(e.register())
		}
	})
}
