package pace

import (
	"math"
	"time"
)

// creditLifetime is how long the credit for a request may stay unused, so that daemons that had no requests do not all
// have one to spend at the same time.
const creditLifetime = time.Second

// bucket is a token bucket whose tokens expire. It holds the tokens of creditLifetime, or one if these are fewer.
type bucket struct {
	tokens   float64
	filledAt time.Time
	// fullFor is how long the bucket has held one token, if its rate is so low that it holds no more.
	fullFor time.Duration
}

// fill adds the tokens since the last fill, at a rate in tokens a second, which is positive.
func (b *bucket) fill(rate float64, now time.Time) {
	elapsed := now.Sub(b.filledAt)
	if elapsed <= 0 {
		return
	}
	b.filledAt = now
	if capacity := rate * creditLifetime.Seconds(); capacity >= 1 {
		b.tokens = math.Min(capacity, b.tokens+rate*elapsed.Seconds())
		b.fullFor = 0
		return
	}
	b.fillSlowly(rate, elapsed)
}

// fillSlowly is fill for a rate at which the bucket holds at most one token: once it does, the token expires after
// creditLifetime and the bucket fills again from zero.
func (b *bucket) fillSlowly(rate float64, elapsed time.Duration) {
	b.tokens = math.Min(1, b.tokens)
	timeToFill := seconds((1 - b.tokens) / rate)
	if elapsed < timeToFill {
		b.tokens += rate * elapsed.Seconds()
		return
	}
	sinceFull := b.fullFor + elapsed - timeToFill
	sinceFull %= creditLifetime + seconds(1/rate)
	if sinceFull < creditLifetime {
		b.tokens, b.fullFor = 1, sinceFull
		return
	}
	b.tokens, b.fullFor = rate*(sinceFull-creditLifetime).Seconds(), 0
}

// take spends a token if there is one.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.fullFor = 0
	return true
}

// untilNext returns the time until there is a token.
func (b *bucket) untilNext(rate float64) time.Duration {
	return seconds(math.Max(0, 1-b.tokens) / rate)
}

// seconds returns a duration of a number of seconds.
func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }
