package quarantine

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// The pause between two tries to reserve endpoints for one fingerprint doubles from minAskPause to maxAskPause while others hold
	// the endpoints. Many requests may wait for a trial, and each try costs calls to the store and connections to endpoints.
	minAskPause = 90 * time.Millisecond
	maxAskPause = 360 * time.Millisecond
	// The pause between any two tries doubles from minStorePause to maxStorePause while the store rejects them or does not answer,
	// and halves with each one that it answers, until it is below minStorePause.
	minStorePause = 200 * time.Millisecond
	maxStorePause = 1600 * time.Millisecond
	// maxAsked bounds the fingerprints whose last try is remembered.
	maxAsked = 256
)

//go:generate go tool enumer -type=AskDecision -text -transform=kebab -trimprefix=Ask -output=askdecision_enumer.go

// AskDecision is whether a daemon may ask the store to reserve endpoints.
type AskDecision int

// The decisions.
const (
	// AskNow means that it may.
	AskNow AskDecision = iota
	// AskLater means that it has asked for the same fingerprint just before, or that the last try for any has failed.
	AskLater
	// AskStoreBusy means that the store has rejected several tries in a row, or not answered them, for whichever fingerprint.
	AskStoreBusy
)

// AskPace limits how often one daemon tries to reserve endpoints. The store's rates are for all daemons together, so daemons that
// repeat what it rejects keep it from serving anybody. AskPace is not safe for concurrent use.
type AskPace struct {
	asked map[Fingerprint]askTimes
	// storePause is the pause between two tries, or zero if the store has answered the last ones. nextAt is when the next one may
	// start.
	storePause time.Duration
	nextAt     time.Time
	// random returns a random number in [0,1).
	random func() float64
}

// askTimes are the time of the last try for a fingerprint, and the pause after it.
type askTimes struct {
	at    time.Time
	pause time.Duration
}

// NewAskPace returns an AskPace that allows the first try.
func NewAskPace() *AskPace {
	return &AskPace{asked: make(map[Fingerprint]askTimes), random: rand.Float64}
}

// May reports whether a try for a fingerprint may start now, and if so, notes it.
func (p *AskPace) May(fingerprint Fingerprint, now time.Time) AskDecision {
	last, asked := p.asked[fingerprint]
	if asked && now.Sub(last.at) < max(last.pause, minAskPause) {
		return AskLater
	}
	if p.storePause > 0 && now.Before(p.nextAt) {
		return p.whileStorePauses()
	}
	p.pauseStore(now)
	p.expire(now)
	p.asked[fingerprint] = askTimes{at: now, pause: last.pause}
	return AskNow
}

// whileStorePauses returns the decision on a try before the next one may start. A single failure does not show that the store is
// away, and a suspect may run without a reservation while it is.
func (p *AskPace) whileStorePauses() AskDecision {
	if p.storePause > minStorePause {
		return AskStoreBusy
	}
	return AskLater
}

// Answered notes that the store has answered a try for a fingerprint, with or without a reservation.
func (p *AskPace) Answered(fingerprint Fingerprint, reserved bool, now time.Time) {
	if p.storePause /= 2; p.storePause < minStorePause {
		p.storePause = 0
	}
	if reserved {
		p.asked[fingerprint] = askTimes{at: now}
		return
	}
	p.Denied(fingerprint, now)
}

// Denied notes that the endpoints of a try for a fingerprint were not to be had.
func (p *AskPace) Denied(fingerprint Fingerprint, now time.Time) {
	pause := min(maxAskPause, max(minAskPause, 2*p.asked[fingerprint].pause))
	p.asked[fingerprint] = askTimes{at: now, pause: pause}
}

// Failed notes that the store has rejected a try, or not answered it.
func (p *AskPace) Failed(now time.Time) {
	p.storePause = min(maxStorePause, max(minStorePause, 2*p.storePause))
	p.pauseStore(now)
}

// pauseStore sets the time of the next try, at random between half the pause and all of it, so that daemons that were rejected
// together do not return together.
func (p *AskPace) pauseStore(now time.Time) {
	p.nextAt = now.Add(time.Duration((1 + p.random()) / 2 * float64(p.storePause)))
}

// expire forgets the fingerprints that have not been asked for during the longest pause, if there are many.
func (p *AskPace) expire(now time.Time) {
	if len(p.asked) >= maxAsked {
		maps.DeleteFunc(p.asked, func(_ Fingerprint, last askTimes) bool { return now.Sub(last.at) >= maxAskPause })
	}
}
