package timer

import (
	"context"
	"time"

	"chicoryhall.example/chicoryhall"
)

// Sleep waits for a duration of a timer's time, or until ctx ends, whose error it returns then.
func Sleep(ctx context.Context, timer chicoryhall.Timer, duration time.Duration) error {
	elapsed := make(chan struct{})
	waiting := timer.After(duration, func(time.Time) { close(elapsed) })
	defer waiting.Cancel()
	select {
	case <-elapsed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
