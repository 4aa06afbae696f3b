package chicoryhall

import "time"

// Timer gives the current time and calls functions when their time comes.
//
// The functions run one after another on the timer's own goroutine and must not block.
type Timer interface {
	// Now returns the current time.
	Now() time.Time
	// Every calls tick once per period until the subscription is cancelled.
	Every(period time.Duration, tick func(now time.Time)) Subscription
	// After calls fire once after the delay, unless the subscription is cancelled before.
	After(delay time.Duration, fire func(now time.Time)) Subscription
}

// Subscription is a registration with a Timer.
type Subscription interface {
	// Cancel stops further calls of the function. It may be called more than once.
	Cancel()
}
