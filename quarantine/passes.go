package quarantine

import (
	"sync"
	"time"
)

const (
	// passMemory is the time for which Passes remembers answers and losses at least. It forgets them soon after twice that time.
	passMemory = 30 * time.Second
	// maxTallies bounds the parts that Passes counts in a passMemory. Further ones are not counted.
	maxTallies = 1024
	// A crash says nothing against a part with at least harmlessPasses remembered answers, and passesPerLoss for each loss.
	harmlessPasses = 5
	passesPerLoss  = 3
)

// Passes compares, for each part of prompts, the answers that have lately gone on beyond their beginning at this daemon with
// the losses in crashes. Parts that most requests share are lost in nearly every crash; this tells them from the cause. It
// is safe for concurrent use.
type Passes struct {
	mu sync.Mutex
	// recent holds the tallies since recentSince, and earlier those of the passMemory before.
	recent, earlier map[Fingerprint]tally
	recentSince     time.Time
}

// tally counts the answers that went on and the losses of one part.
type tally struct {
	passed, lost int
}

// NewPasses returns Passes without any answer.
func NewPasses() *Passes { return &Passes{recent: make(map[Fingerprint]tally)} }

// Add counts an answer that has gone on for each part of its prompt.
func (p *Passes) Add(parts []Fingerprint, now time.Time) {
	p.add(parts, tally{passed: 1}, now)
}

// AddLoss counts a loss for each part of the prompt of a request.
func (p *Passes) AddLoss(parts []Fingerprint, now time.Time) {
	p.add(parts, tally{lost: 1}, now)
}

func (p *Passes) add(parts []Fingerprint, one tally, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.age(now)
	for _, part := range parts {
		known, found := p.recent[part]
		if found || len(p.recent) < maxTallies {
			p.recent[part] = tally{passed: known.passed + one.passed, lost: known.lost + one.lost}
		}
	}
}

// IsHarmless reports whether so many answers to prompts with the part have lately gone on that its losses say nothing.
func (p *Passes) IsHarmless(part Fingerprint, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.age(now)
	passed := p.recent[part].passed + p.earlier[part].passed
	lost := p.recent[part].lost + p.earlier[part].lost
	return passed >= max(harmlessPasses, passesPerLoss*lost)
}

// age forgets tallies that are too old. The caller holds p.mu.
func (p *Passes) age(now time.Time) {
	switch elapsed := now.Sub(p.recentSince); {
	case elapsed < passMemory:
		return
	case elapsed < 2*passMemory:
		p.earlier = p.recent
	default:
		p.earlier = nil
	}
	p.recent, p.recentSince = make(map[Fingerprint]tally), now
}
