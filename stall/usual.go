package stall

import "time"

const (
	pauseStep  = 10 * time.Millisecond
	pauseSteps = 100
	// usualShare of all pauses are at most as long as the longest usual one.
	usualShare = 0.999
	// minKnown is the number of pauses from which UsualPauses knows what is usual. Beyond maxKnown, older pauses count less.
	minKnown = 1000
	maxKnown = 20000
)

// UsualPauses counts the pauses of the streams of a service by their length. It is not safe for concurrent use.
type UsualPauses struct {
	counts [pauseSteps]float64
	total  float64
}

// Add counts a pause after which a stream went on.
func (u *UsualPauses) Add(pause time.Duration) {
	u.counts[min(max(0, int(pause/pauseStep)), pauseSteps-1)]++
	u.total++
	if u.total < maxKnown {
		return
	}
	u.total = 0
	for i := range u.counts {
		u.counts[i] /= 2
		u.total += u.counts[i]
	}
}

// Longest returns the longest pause that is usual, rounded up, or 0 if that is not known.
func (u *UsualPauses) Longest() time.Duration {
	if u.total < minKnown {
		return 0
	}
	rest := u.total * (1 - usualShare)
	for i := pauseSteps - 1; i > 0; i-- {
		if rest -= u.counts[i]; rest < 0 {
			return time.Duration(i+1) * pauseStep
		}
	}
	return pauseStep
}
