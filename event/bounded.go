package event

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// flushPeriod lies between two writes of the lines that have gathered.
	flushPeriod = 200 * time.Millisecond
	// maxGathered bounds the lines that gather in between, in bytes, and so the volume a second.
	maxGathered = 128 << 10
)

// Bounded is a writer that never blocks: lines gather in memory and are written from time to time.
// Lines beyond maxGathered in one period are dropped and counted.
type Bounded struct {
	out   io.Writer
	timer chicoryhall.Timer

	mu       sync.Mutex
	gathered []byte
	spare    []byte
	dropped  int
	total    int

	writing sync.Mutex
}

// NewBounded returns a Bounded that writes to out while Serve runs, and when it is flushed.
func NewBounded(out io.Writer, timer chicoryhall.Timer) *Bounded {
	return &Bounded{out: out, timer: timer}
}

// String names the part in the supervisor's reports.
func (b *Bounded) String() string { return "log" }

// Write takes one line; it reports success also for a line that is dropped.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.gathered)+len(line) > maxGathered {
		b.dropped++
		b.total++
		return len(line), nil
	}
	b.gathered = append(b.gathered, line...)
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the start.
func (b *Bounded) Dropped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Serve writes the lines until ctx ends.
func (b *Bounded) Serve(ctx context.Context) error {
	due := make(chan struct{}, 1)
	ticks := b.timer.Every(flushPeriod, func(time.Time) {
		select {
		case due <- struct{}{}:
		default:
		}
	})
	defer ticks.Cancel()
	for {
		select {
		case <-ctx.Done():
			b.Flush()
			return ctx.Err()
		case <-due:
			b.Flush()
		}
	}
}

// Flush writes what has gathered; it blocks as long as the reader of the log does.
func (b *Bounded) Flush() {
	b.writing.Lock()
	defer b.writing.Unlock()
	b.mu.Lock()
	lines, dropped := b.gathered, b.dropped
	b.gathered, b.dropped = b.spare[:0], 0
	b.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "level=warn msg=%q event=%d dropped=%d\n", LinesDropped.message, LinesDropped.number, dropped)
	}
	if len(lines) > 0 {
		_, _ = b.out.Write(lines) // There is nowhere to report a log that cannot be written.
	}
	b.mu.Lock()
	b.spare = lines[:0]
	b.mu.Unlock()
}
