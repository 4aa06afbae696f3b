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
	// flushPeriod is the time between two writes of buffered lines.
	flushPeriod = 200 * time.Millisecond
	// maxBuffered bounds the lines waiting to be written, in bytes. With one write per flushPeriod,
	// it also bounds the log volume per second.
	maxBuffered = 128 << 10
)

// BoundedWriter is an io.Writer that never blocks: it buffers lines in memory, and Serve writes them once per
// flushPeriod. A new line that does not fit into maxBuffered is dropped and counted.
type BoundedWriter struct {
	out   io.Writer
	timer chicoryhall.Timer

	mu           sync.Mutex
	buffered     []byte
	spare        []byte // the array of the last batch written, reused for the next one
	dropped      int    // since the last flush
	droppedTotal int    // since the start
	// pending wakes Serve when a line has been buffered.
	pending chan struct{}

	// flushMu serializes calls of Flush.
	flushMu sync.Mutex
}

// NewBoundedWriter returns a BoundedWriter that writes to out while Serve runs, and on Flush.
func NewBoundedWriter(out io.Writer, timer chicoryhall.Timer) *BoundedWriter {
	return &BoundedWriter{out: out, timer: timer, pending: make(chan struct{}, 1)}
}

// String returns the component's name for the supervisor's log lines.
func (b *BoundedWriter) String() string { return "log" }

// Write buffers line, which must be one whole line. It reports success even if the line is dropped, as the
// program must not fail because of its log.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.buffered)+len(line) > maxBuffered {
		b.dropped++
		b.droppedTotal++
		return len(line), nil
	}
	b.buffered = append(b.buffered, line...)
	select {
	case b.pending <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the start.
func (b *BoundedWriter) Dropped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.droppedTotal
}

// Serve writes the buffered lines until ctx is done, then flushes once more. It waits without polling while there are none.
func (b *BoundedWriter) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			b.Flush()
			return ctx.Err()
		case <-b.pending:
		}
		b.waitForFlush(ctx)
		b.Flush()
	}
}

// waitForFlush waits for flushPeriod, so that further lines are written together with the first one.
func (b *BoundedWriter) waitForFlush(ctx context.Context) {
	elapsed := make(chan struct{})
	subscription := b.timer.After(flushPeriod, func(time.Time) { close(elapsed) })
	defer subscription.Cancel()
	select {
	case <-ctx.Done():
	case <-elapsed:
	}
}

// Flush writes the buffered lines. It blocks for as long as the underlying writer does.
func (b *BoundedWriter) Flush() {
	b.flushMu.Lock()
	defer b.flushMu.Unlock()
	b.mu.Lock()
	lines, dropped := b.buffered, b.dropped
	b.buffered, b.dropped = b.spare[:0], 0
	b.mu.Unlock()
	if dropped > 0 {
		// Not through a Logger, as that would put the line behind those buffered meanwhile. It therefore lacks the time and
		// the program that the other lines have.
		lines = fmt.Appendf(lines, "level=warn msg=%q event=%d dropped=%d\n", LinesDropped.message, LinesDropped.number, dropped)
	}
	if len(lines) > 0 {
		_, _ = b.out.Write(lines) // A failure to write the log cannot be reported anywhere.
	}
	b.mu.Lock()
	b.spare = lines[:0]
	b.mu.Unlock()
}
