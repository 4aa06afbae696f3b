package retry

import (
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// windowParts is the number of parts in which a window slides.
	windowParts = 20
	// slackShare is the part of the slack that daemons spend together; the rest covers daemons
	// that do not know of each other yet.
	slackShare = 0.8
)

// SlidingLimits bound the retries of a service over all daemons.
type SlidingLimits struct {
	// Window is the length of every span that is looked at.
	Window time.Duration
	// Ratio is the part of a span's requests that may be sent again, Slack what may come on top.
	Ratio float64
	Slack float64
}

// SlidingBudgets holds each service's retries to a share of its requests in every span of time. Each
// daemon spends on its own: the ratio of its own requests and an equal part of the slack, so that
// the sum keeps the bound without a common counter. It is safe for concurrent use.
type SlidingBudgets struct {
	terms   SlidingLimits
	daemons func() int

	mu        sync.Mutex
	byService map[chicoryhall.ServiceName]*window
}

// NewSlidingBudgets returns the Windows of a daemon that has just started; daemons returns the number of
// daemons that share the slack, this one included.
func NewSlidingBudgets(terms SlidingLimits, daemons func() int) *SlidingBudgets {
	return &SlidingBudgets{terms: terms, daemons: daemons, byService: make(map[chicoryhall.ServiceName]*window)}
}

// CountRequest counts a caller's request.
func (w *SlidingBudgets) CountRequest(service chicoryhall.ServiceName, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.of(service, now).add(1, 0)
}

// Take spends one retry, or returns false when none is left.
func (w *SlidingBudgets) Take(service chicoryhall.ServiceName, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	spent := w.of(service, now)
	requests, retries := spent.sums()
	allowed := w.terms.Ratio*requests + w.terms.Slack*slackShare/float64(max(1, w.daemons()))
	if retries+1 > allowed {
		return false
	}
	spent.add(0, 1)
	return true
}

// of returns the service's window as of now.
func (w *SlidingBudgets) of(service chicoryhall.ServiceName, now time.Time) *window {
	current := w.byService[service]
	if current == nil {
		current = &window{}
		w.byService[service] = current
	}
	current.slide(now.UnixNano() / max(1, int64(w.terms.Window)/windowParts))
	return current
}

// part is what happened in one part of a window.
type part struct {
	requests float64
	retries  float64
}

// window counts over the last parts; one more than the window's length is kept, as the part in
// progress is not whole.
type window struct {
	parts  [windowParts + 1]part
	newest int64
}

// slide empties the parts that have come since the newest one; time that goes back changes nothing.
func (w *window) slide(now int64) {
	if now-w.newest > int64(len(w.parts)) {
		w.newest = now - int64(len(w.parts))
	}
	for w.newest < now {
		w.newest++
		w.parts[w.newest%int64(len(w.parts))] = part{}
	}
}

func (w *window) add(requests, retries float64) {
	current := &w.parts[w.newest%int64(len(w.parts))]
	current.requests += requests
	current.retries += retries
}

// sums returns the counts; requests of the oldest part count no more, its retries still do.
func (w *window) sums() (requests, retries float64) {
	oldest := (w.newest + 1) % int64(len(w.parts))
	for i, p := range w.parts {
		if int64(i) != oldest {
			requests += p.requests
		}
		retries += p.retries
	}
	return requests, retries
}
