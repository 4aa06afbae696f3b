package chicoryhall

import "time"

// Timer tells the time and calls the parts that subscribe to it.
//
// Calls run one after another on the timer's own goroutine and must not block.
type Timer interface {
	// Now returns the current time.
	Now() time.Time
	// Every calls tick once per period until the subscription is cancelled.
	Every(period time.Duration, tick func(now time.Time)) Subscription
	// After calls fire once when delay has passed unless cancelled before.
	After(delay time.Duration, fire func(now time.Time)) Subscription
}

// Subscription ends a part's interest in a Timer.
type Subscription interface {
	// Cancel stops further calls; it is idempotent.
	Cancel()
}
