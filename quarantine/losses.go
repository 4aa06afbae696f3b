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

// Incarnation is one process of an endpoint, from its start to its end. An endpoint that starts again with the same ID has
// another incarnation, so the incarnation also identifies a crash.
type Incarnation struct {
	Endpoint chicoryhall.EndpointID `json:"e"`
	Number   int64                  `json:"i,omitempty"`
}

// Stage is a part of a route: an endpoint's incarnation and its address.
type Stage struct {
	Incarnation
	Address string
}

//go:generate go tool enumer -type=LossCause -text -transform=kebab -trimprefix=Loss -output=losscause_enumer.go

// LossCause is how an attempt was lost.
type LossCause int

// The causes of a loss.
const (
	// LossUnrelated means that the loss is no sign of a crash: the endpoint answered wrongly, or the caller left.
	LossUnrelated LossCause = iota
	// LossBroken means that the connection to the first endpoint of the route broke.
	LossBroken
	// LossSilent means that nothing more arrived.
	LossSilent
)

// Loss is an attempt that was sent and ended without a complete answer.
type Loss struct {
	Fingerprint Fingerprint
	// Parts are those of the prompt that the answer had not yet shown to be harmless.
	Parts []Fingerprint
	// Subject is the fingerprint that the attempt was a trial of, if it was one.
	Subject Fingerprint
	// Attempt identifies the attempt among all of all daemons.
	Attempt string
	// Stages are those of the route that the attempt ran on.
	Stages []Stage
	// Position is the ID of the last event of the answer that the caller had received, or 0. Events is the number of events that the
	// attempt itself had made.
	Position, Events int64
	// Isolated is set if the endpoints were reserved for the attempt until it was lost, see Reservations.
	Isolated  bool
	Cause     LossCause
	StartedAt time.Time
	LostAt    time.Time
	// Explained is set if another crash has explained the loss before.
	Explained bool
}

// includes reports whether the attempt ran on an incarnation.
func (loss *Loss) includes(incarnation Incarnation) bool {
	return slices.ContainsFunc(loss.Stages, func(stage Stage) bool { return stage.Incarnation == incarnation })
}

// Losses matches lost attempts with crashes of endpoints, in whichever order they become known. It is not safe
// for concurrent use.
type Losses struct {
	recent []Loss
	// crashes maps the recent crashes to the times at which they became known.
	crashes map[Incarnation]time.Time
}

// NewLosses returns Losses that know no loss and no crash.
func NewLosses() *Losses { return &Losses{crashes: make(map[Incarnation]time.Time)} }

// Add records a loss and returns those of its endpoints that are known to have crashed while the attempt ran. The first of
// them explains the loss.
func (l *Losses) Add(loss Loss) []Incarnation {
	l.expire(loss.LostAt)
	if len(l.recent) >= maxLosses {
		l.recent = l.recent[1:]
	}
	var crashed []Incarnation
	for _, stage := range loss.Stages {
		if knownAt, ok := l.crashes[stage.Incarnation]; ok && !loss.StartedAt.After(knownAt) {
			crashed = append(crashed, stage.Incarnation)
		}
	}
	loss.Explained = len(crashed) > 0
	l.recent = append(l.recent, loss)
	return crashed
}

// AddCrash records that an endpoint has crashed and returns the losses that this explains. These are the losses there
// since lastProgress, when the endpoint was last seen working. A crash that is known already explains no further losses.
func (l *Losses) AddCrash(crash Incarnation, lastProgress, now time.Time) []Loss {
	l.expire(now)
	if _, known := l.crashes[crash]; known {
		return nil
	}
	l.crashes[crash] = now
	since := lastProgress.Add(-progressTolerance)
	var explained []Loss
	for i := range l.recent {
		loss := &l.recent[i]
		if loss.includes(crash) && !loss.LostAt.Before(since) {
			explained = append(explained, *loss)
			loss.Explained = true
		}
	}
	return explained
}

// Pending is what the losses show of a fingerprint before a crash is known that explains them.
type Pending struct {
	// Crashes are the incarnations that attempts may have crashed.
	Crashes []Incarnation
	// Position is the highest position at which one of the attempts was lost, and Events the greatest number of events that one had made.
	Position, Events int64
}

// Pending returns the incarnations that attempts with a fingerprint may have crashed: their connections broke there, no crash is
// known yet that explains it, and nothing has come from there since. lastProgress returns when an endpoint was last seen working.
func (l *Losses) Pending(fingerprint Fingerprint, lastProgress func(chicoryhall.EndpointID) time.Time, now time.Time) Pending {
	l.expire(now)
	var pending Pending
	for i := range l.recent {
		loss := &l.recent[i]
		if loss.Fingerprint != fingerprint || loss.Cause != LossBroken || loss.Explained || len(loss.Stages) == 0 {
			continue
		}
		first := loss.Stages[0].Incarnation // It answers for the whole route.
		isAlive := lastProgress(first.Endpoint).After(loss.LostAt.Add(progressTolerance))
		if isAlive || l.Crashed(first) {
			continue
		}
		pending.Crashes = appendMissing(pending.Crashes, []Incarnation{first})
		pending.Position, pending.Events = max(pending.Position, loss.Position), max(pending.Events, loss.Events)
	}
	return pending
}

// Unexplained returns the stages at an endpoint that have losses without a known crash.
func (l *Losses) Unexplained(id chicoryhall.EndpointID, now time.Time) []Stage {
	return l.unexplained(now, func(stage Stage, _ *Loss) bool { return stage.Endpoint == id })
}

// Superseded returns the stages that have losses without a known crash and whose address belongs to an endpoint that was
// listed after the lost attempts started. Theirs have ended, as an address has one endpoint at a time.
func (l *Losses) Superseded(by chicoryhall.EndpointID, address string, listedAt, now time.Time) []Stage {
	return l.unexplained(now, func(stage Stage, loss *Loss) bool {
		return stage.Address == address && stage.Endpoint != by && loss.StartedAt.Before(listedAt)
	})
}

// unexplained returns the stages that match and have losses without a known crash.
func (l *Losses) unexplained(now time.Time, matches func(Stage, *Loss) bool) []Stage {
	l.expire(now)
	var stages []Stage
	for i := range l.recent {
		for _, stage := range l.recent[i].Stages {
			if matches(stage, &l.recent[i]) && !l.Crashed(stage.Incarnation) && !slices.Contains(stages, stage) {
				stages = append(stages, stage)
			}
		}
	}
	return stages
}

// Crashed reports whether an incarnation is known to have crashed lately.
func (l *Losses) Crashed(incarnation Incarnation) bool {
	_, known := l.crashes[incarnation]
	return known
}

// CrashedElsewhere reports whether an endpoint on which the lost attempt did not run has crashed within the time before now.
func (l *Losses) CrashedElsewhere(loss Loss, window time.Duration, now time.Time) bool {
	for crash, knownAt := range l.crashes {
		if now.Sub(knownAt) <= window && !loss.includes(crash) {
			return true
		}
	}
	return false
}

// expire forgets losses and crashes older than lossMemory.
func (l *Losses) expire(now time.Time) {
	l.recent = slices.DeleteFunc(l.recent, func(loss Loss) bool { return now.Sub(loss.LostAt) > lossMemory })
	maps.DeleteFunc(l.crashes, func(_ Incarnation, knownAt time.Time) bool { return now.Sub(knownAt) > lossMemory })
}
