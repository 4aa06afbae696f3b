package event_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/timer"
)

// blockingWriter blocks each write until release is closed, like a pipe that nobody reads.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockingWriter) Write(lines []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(lines)
}

func TestBoundedWriterDropsLinesInsteadOfBlocking(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	bounded := event.NewBoundedWriter(out, timer.NewManual(time.Unix(1000, 0)))
	logger := event.NewLogger(bounded, "test", log.InfoLevel)
	const lines = 5000 // more than fit into maxBuffered
	for i := range lines {
		logger.Log(event.ProcessStarted, "number", i)
	}
	must.Positive(t, bounded.Dropped())
	must.Less(t, lines, bounded.Dropped())
	close(out.release)
	bounded.Flush()
	bounded.Flush() // Must not report the dropped lines a second time.
	text := out.text.String()
	must.Eq(t, lines-bounded.Dropped(), strings.Count(text, "process started"))
	must.Eq(t, 1, strings.Count(text, "log lines dropped"))
	must.StrContains(t, text, "number=0\n")
	must.LessEq(t, 130<<10, len(text))
}

func TestBoundedWriterFlushesAfterPeriodAndAtEnd(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	close(out.release)
	clock := timer.NewManual(time.Unix(1000, 0))
	bounded := event.NewBoundedWriter(out, clock)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = bounded.Serve(ctx) })
	_, err := bounded.Write([]byte("a line\n"))
	must.NoError(t, err)
	advanceAndCheck := func() bool {
		clock.Advance(time.Second)
		out.mu.Lock()
		defer out.mu.Unlock()
		return out.text.String() == "a line\n"
	}
	for deadline := time.Now().Add(5 * time.Second); !advanceAndCheck() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	must.True(t, advanceAndCheck())
	_, err = bounded.Write([]byte("the last\n"))
	must.NoError(t, err)
	cancel()
	running.Wait()
	must.Eq(t, "a line\nthe last\n", out.text.String())
}
