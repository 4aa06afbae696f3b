package neighbour

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

// failureLifetime is how old a failure may be that is passed on.
const failureLifetime = time.Second

// Failure is an incarnation of an endpoint, with the time since a failure or since progress there, as it is told.
type Failure struct {
	Endpoint    chicoryhall.EndpointID `json:"endpoint"`
	Incarnation int64                  `json:"incarnation"`
	AgeMillis   int64                  `json:"ageMillis"`
}

// FailuresOf returns failures as they are told the given time after they were listed.
func FailuresOf(failures []chicoryhall.EndpointFailure, after time.Duration) []Failure {
	var told []Failure
	for _, failure := range failures {
		told = append(told, Failure{Endpoint: failure.Endpoint, Incarnation: failure.Incarnation, AgeMillis: (failure.Age + after).Milliseconds()})
	}
	return told
}

// EndpointFailures returns told failures that have been on their way for at most the given time.
func EndpointFailures(told []Failure, onTheWay time.Duration) []chicoryhall.EndpointFailure {
	var failures []chicoryhall.EndpointFailure
	for _, failure := range told {
		age := time.Duration(failure.AgeMillis)*time.Millisecond + onTheWay
		failures = append(failures, chicoryhall.EndpointFailure{Endpoint: failure.Endpoint, Incarnation: failure.Incarnation, Age: age})
	}
	return failures
}

// incarnation is one life of an endpoint.
type incarnation struct {
	endpoint chicoryhall.EndpointID
	number   int64
}

// Failures keeps what the daemons of a failure domain tell of endpoints that fail. It is safe for concurrent use.
type Failures struct {
	mu sync.Mutex
	// failedAt is by daemon, as each one tells all of its failures at a time. workingAt is when any daemon last saw progress.
	failedAt  map[chicoryhall.DaemonID]map[incarnation]time.Time
	workingAt map[incarnation]time.Time
}

// NewFailures returns Failures of no daemon.
func NewFailures() *Failures {
	return &Failures{failedAt: make(map[chicoryhall.DaemonID]map[incarnation]time.Time), workingAt: make(map[incarnation]time.Time)}
}

// Tell records all failures that a daemon tells of, and the endpoints reported by others that work by its traffic.
func (f *Failures) Tell(from chicoryhall.DaemonID, failures, working []Failure, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.failedAt, from)
	if told := timesOf(failures, now); len(told) > 0 {
		f.failedAt[from] = told
	}
	for failed, at := range timesOf(working, now) {
		if at.After(f.workingAt[failed]) {
			f.workingAt[failed] = at
		}
	}
	for failed, at := range f.workingAt {
		if now.Sub(at) > failureLifetime {
			delete(f.workingAt, failed)
		}
	}
}

// timesOf returns the times of told failures that are not too old. A negative age counts as 0.
func timesOf(told []Failure, now time.Time) map[incarnation]time.Time {
	times := make(map[incarnation]time.Time, len(told))
	for _, failure := range told {
		if age := time.Duration(max(0, failure.AgeMillis)) * time.Millisecond; age <= failureLifetime {
			times[incarnation{failure.Endpoint, failure.Incarnation}] = now.Add(-age)
		}
	}
	return times
}

// Others returns the latest failure of each endpoint that daemons other than one have told of, without those after which a daemon
// has seen progress. They are ordered by endpoint.
func (f *Failures) Others(but chicoryhall.DaemonID, now time.Time) []Failure {
	f.mu.Lock()
	defer f.mu.Unlock()
	latestAt := make(map[incarnation]time.Time)
	for daemon, failures := range f.failedAt {
		for failed, at := range failures {
			if daemon != but && now.Sub(at) <= failureLifetime && at.After(f.workingAt[failed]) && at.After(latestAt[failed]) {
				latestAt[failed] = at
			}
		}
	}
	var others []Failure
	for failed, at := range latestAt {
		others = append(others, Failure{Endpoint: failed.endpoint, Incarnation: failed.number, AgeMillis: now.Sub(at).Milliseconds()})
	}
	slices.SortFunc(others, func(a, b Failure) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return others
}
