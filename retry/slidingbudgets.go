package retry

import (
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// windowBuckets is the number of buckets that a window consists of.
	windowBuckets = 20
	// The known daemons divide slackShare of the slack among them. The rest is a reserve: a daemon that does
	// not know all others yet takes too large a part.
	slackShare = 0.8
	// startShare takes the place of slackShare during the first window after the start of a daemon, and the time that loans last, as
	// the process before it may have spent or lent the daemon's part of the slack.
	startShare = 0.1
)

// SlidingLimits limits the retries of a service over all daemons.
type SlidingLimits struct {
	// Window is the length of the windows of time to which the limit applies.
	Window time.Duration
	// Ratio times the number of requests in a window, plus Slack, is the number of retries allowed in it.
	Ratio float64
	Slack float64
}

// SlidingBudgets limits the retries of each service as its SlidingLimits say. Each
// daemon spends retries independently: up to the ratio of its own requests, and its part of the slack (see
// slackShare). The sum over all daemons thus keeps the limit without a common counter. Daemons may lend
// each other parts of their shares (see Pool). It is safe for concurrent use.
type SlidingBudgets struct {
	limits      SlidingLimits
	startedAt   time.Time
	daemonCount func() int
	// isCountKnown reports whether daemonCount counts all daemons.
	isCountKnown func() bool

	mu        sync.Mutex
	byService map[chicoryhall.ServiceName]*window
	accounts  map[chicoryhall.ServiceName]*account
	// loanNumber is that of the last LoanRequest. It begins with the time of the start, so that it grows across restarts.
	loanNumber int64
	source     source
	stats      LoanStats
	short      func()
}

// NewSlidingBudgets returns SlidingBudgets without any requests. startedAt is when the daemon's process started;
// daemonCount returns the number of daemons that share the slack, this one included.
func NewSlidingBudgets(limits SlidingLimits, startedAt time.Time, daemonCount func() int) *SlidingBudgets {
	return &SlidingBudgets{
		limits: limits, startedAt: startedAt, daemonCount: daemonCount, isCountKnown: func() bool { return true }, byService: make(map[chicoryhall.ServiceName]*window),
		accounts: make(map[chicoryhall.ServiceName]*account), loanNumber: startedAt.UnixMilli(), short: func() {},
	}
}

// SetCountKnown sets the function that reports whether the number of daemons is known. While it is not, nothing of the slack is spent, as
// the part of this daemon may be small. It must be called before the first retry.
func (b *SlidingBudgets) SetCountKnown(isKnown func() bool) { b.isCountKnown = isKnown }

// CountRequest counts a caller's request.
func (b *SlidingBudgets) CountRequest(service chicoryhall.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.windowAt(service, now).add(1, 0)
}

// Take spends one retry, a borrowed one first. It returns false if none is left.
func (b *SlidingBudgets) Take(service chicoryhall.ServiceName, now time.Time) bool {
	b.mu.Lock()
	current, own := b.windowAt(service, now), b.accountAt(service, now)
	own.need++
	taken := true
	switch {
	case own.borrowed() > 0:
		own.spend()
		b.stats.Spent++
	case b.leftOf(current, own, now) >= 1:
		current.add(0, 1)
	default:
		taken = false
	}
	short := b.short
	isShort := own.borrowed() == 0 && b.leftOf(current, own, now) < 1
	b.mu.Unlock()
	if isShort {
		short()
	}
	return taken
}

// IsLeft reports whether a retry is left, without spending it.
func (b *SlidingBudgets) IsLeft(service chicoryhall.ServiceName, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current, own := b.windowAt(service, now), b.accountAt(service, now)
	isLeft := own.borrowed() > 0 || b.leftOf(current, own, now) >= 1
	if !isLeft {
		own.need = max(own.need, 1)
	}
	return isLeft
}

// slackPart returns this daemon's part of the slack.
func (b *SlidingBudgets) slackPart(now time.Time) float64 {
	if !b.isCountKnown() {
		return 0
	}
	return b.slackAt(now) / float64(max(1, b.daemonCount()))
}

// slackAt returns the part of the slack that all daemons together spend if they are in the same state as this one.
func (b *SlidingBudgets) slackAt(now time.Time) float64 {
	if now.Sub(b.startedAt) < b.limits.Window+2*loanLifetime {
		return b.limits.Slack * startShare
	}
	return b.limits.Slack * slackShare
}

// windowAt returns the service's window, advanced to now.
func (b *SlidingBudgets) windowAt(service chicoryhall.ServiceName, now time.Time) *window {
	current := b.byService[service]
	if current == nil {
		current = &window{}
		b.byService[service] = current
	}
	current.advance(now.UnixNano() / max(1, int64(b.limits.Window)/windowBuckets))
	return current
}

// bucket counts the requests and retries in one part of a window.
type bucket struct {
	requests float64
	retries  float64
}

// window counts requests and retries in the latest buckets. The buckets span one bucket more than the window's
// length, because the newest bucket is only partly in the past.
type window struct {
	buckets      [windowBuckets + 1]bucket
	newestBucket int64
}

// advance makes bucketNumber the newest bucket and clears the buckets after the previous newest one. It
// ignores a lower number than that of the newest bucket.
func (w *window) advance(bucketNumber int64) {
	if bucketNumber-w.newestBucket > int64(len(w.buckets)) {
		w.newestBucket = bucketNumber - int64(len(w.buckets))
	}
	for w.newestBucket < bucketNumber {
		w.newestBucket++
		w.buckets[w.newestBucket%int64(len(w.buckets))] = bucket{}
	}
}

func (w *window) add(requests, retries float64) {
	newest := &w.buckets[w.newestBucket%int64(len(w.buckets))]
	newest.requests += requests
	newest.retries += retries
}

// sums returns the counts of the window. The oldest bucket is partly outside the window: its requests are not
// counted, but its retries are, so that the limit is never exceeded.
func (w *window) sums() (requests, retries float64) {
	oldest := (w.newestBucket + 1) % int64(len(w.buckets))
	for i, b := range w.buckets {
		if int64(i) != oldest {
			requests += b.requests
		}
		retries += b.retries
	}
	return requests, retries
}
