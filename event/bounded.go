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
	// begun tells Serve that a line has gathered.
	begun chan struct{}

	writing sync.Mutex
}

// NewBounded returns a Bounded that writes to out while Serve runs, and when it is flushed.
func NewBounded(out io.Writer, timer chicoryhall.Timer) *Bounded {
	return &Bounded{out: out, timer: timer, begun: make(chan struct{}, 1)}
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
	select {
	case b.begun <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the start.
func (b *Bounded) Dropped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Serve writes the lines until ctx ends; it sleeps while there are none.
func (b *Bounded) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			b.Flush()
			return ctx.Err()
		case <-b.begun:
		}
		b.gather(ctx)
		b.Flush()
	}
}

// gather waits for more lines to be written with the first one.
func (b *Bounded) gather(ctx context.Context) {
	over := make(chan struct{})
	waiting := b.timer.After(flushPeriod, func(time.Time) { close(over) })
	defer waiting.Cancel()
	select {
	case <-ctx.Done():
	case <-over:
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
