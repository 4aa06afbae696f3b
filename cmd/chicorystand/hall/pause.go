package hall

import (
	"context"
	"net/http"
	"time"
)

// Pause makes an endpoint fall silent and go on later.
type Pause struct {
	Millis int `json:"millis"`
}

// Pause makes the endpoint fall silent for a duration. Nothing is lost: what arrives meanwhile is handled after it.
func (e *Endpoint) Pause(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until := time.Now().Add(duration); until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
}

func (e *Endpoint) isPaused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.pausedUntil)
}

func anyPaused(endpoints []*Endpoint) bool {
	for _, endpoint := range endpoints {
		if endpoint.isPaused() {
			return true
		}
	}
	return false
}

// awaitResume waits until none of the endpoints is paused. It returns false if ctx is done before.
func awaitResume(ctx context.Context, endpoints ...*Endpoint) bool {
	for anyPaused(endpoints) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(stallPollPeriod):
		}
	}
	return true
}

// sendThroughPause sends a part of an answer. If one of the endpoints is paused, only half of it goes out before the end of
// the pause.
func sendThroughPause(ctx context.Context, w http.ResponseWriter, text string, endpoints ...*Endpoint) error {
	if anyPaused(endpoints) {
		if err := send(w, text[:len(text)/2]); err != nil {
			return err
		}
		text = text[len(text)/2:]
		if !awaitResume(ctx, endpoints...) {
			return ctx.Err()
		}
	}
	return send(w, text)
}

// send sends a part of an answer at once.
func send(w http.ResponseWriter, text string) error {
	_, err := w.Write([]byte(text))
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	return err
}
