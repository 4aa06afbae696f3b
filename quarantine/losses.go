package quarantine

import (
	"maps"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// lossMemory is how long a loss waits for the news that one of its endpoints has crashed, and how long a crash waits
	// for losses that are noticed late. A platform's list shows a crash after several missed heartbeats.
	lossMemory = 8 * time.Second
	// progressTolerance is how much later than a loss the last data that an endpoint sent before its crash may be noticed.
	progressTolerance = 100 * time.Millisecond
	// maxLosses bounds the memory; the oldest loss is dropped first.
	maxLosses = 4096
)

// Crash identifies the end of one incarnation of an endpoint. An endpoint that starts again with the same ID
// has another incarnation, and can crash again.
type Crash struct {
	Endpoint    chicoryhall.EndpointID `json:"e"`
	Incarnation int64                  `json:"i,omitempty"`
}

// Loss is an attempt that was sent and ended without a complete answer.
type Loss struct {
	Fingerprint Fingerprint
	// Attempt identifies the attempt among all of all daemons.
	Attempt string
	// Endpoints are the incarnations of the endpoints that the attempt ran on.
	Endpoints []Crash
	// Addresses are those of Endpoints, in the same order.
	Addresses []string
	// Position is the ID of the last event of the answer that the caller had received, or 0.
	Position int64
	// Isolated is set if the endpoints were reserved for the attempt until it was lost, see Reservations.
	Isolated  bool
	StartedAt time.Time
	LostAt    time.Time
}

// Losses matches lost attempts with crashes of endpoints, in whichever order they become known. It is not safe
// for concurrent use.
type Losses struct {
	recent []Loss
	// crashes maps the recent crashes to the times at which they became known.
	crashes map[Crash]time.Time
}

// NewLosses returns Losses that know no loss and no crash.
func NewLosses() *Losses { return &Losses{crashes: make(map[Crash]time.Time)} }

// Add records a loss and returns those of its endpoints that are known to have crashed while the attempt ran.
func (l *Losses) Add(loss Loss) []Crash {
	l.expire(loss.LostAt)
	if len(l.recent) >= maxLosses {
		l.recent = l.recent[1:]
	}
	l.recent = append(l.recent, loss)
	var crashed []Crash
	for _, endpoint := range loss.Endpoints {
		if knownAt, ok := l.crashes[endpoint]; ok && !loss.StartedAt.After(knownAt) {
			crashed = append(crashed, endpoint)
		}
	}
	return crashed
}

// AddCrash records that an endpoint has crashed and returns the losses that this explains. These are the losses there
// since lastProgress, when the endpoint was last seen working. A crash that is known already explains no further losses.
func (l *Losses) AddCrash(crash Crash, lastProgress, now time.Time) []Loss {
	l.expire(now)
	if _, known := l.crashes[crash]; known {
		return nil
	}
	l.crashes[crash] = now
	since := lastProgress.Add(-progressTolerance)
	var explained []Loss
	for _, loss := range l.recent {
		if slices.Contains(loss.Endpoints, crash) && !loss.LostAt.Before(since) {
			explained = append(explained, loss)
		}
	}
	return explained
}

// Unexplained returns the addresses of the incarnations of an endpoint that have losses without a known crash.
func (l *Losses) Unexplained(id chicoryhall.EndpointID, now time.Time) map[Crash]string {
	l.expire(now)
	addresses := make(map[Crash]string)
	for _, loss := range l.recent {
		for i, endpoint := range loss.Endpoints {
			if _, known := l.crashes[endpoint]; endpoint.Endpoint == id && !known {
				addresses[endpoint] = loss.Addresses[i]
			}
		}
	}
	return addresses
}

// CrashedWithin reports whether an endpoint other than the given ones has crashed within the time before now.
func (l *Losses) CrashedWithin(window time.Duration, except []Crash, now time.Time) bool {
	for crash, knownAt := range l.crashes {
		if now.Sub(knownAt) <= window && !slices.Contains(except, crash) {
			return true
		}
	}
	return false
}

// expire forgets losses and crashes older than lossMemory.
func (l *Losses) expire(now time.Time) {
	l.recent = slices.DeleteFunc(l.recent, func(loss Loss) bool { return now.Sub(loss.LostAt) > lossMemory })
	maps.DeleteFunc(l.crashes, func(_ Crash, knownAt time.Time) bool { return now.Sub(knownAt) > lossMemory })
}
