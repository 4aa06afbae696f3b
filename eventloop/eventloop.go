package eventloop

import (
	"runtime"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sync/errgroup"
)

// stopTimeout bounds the wait for the goroutines of an event loop. They end within milliseconds, or not at all.
const stopTimeout = time.Second

// Loop is an event loop that can be stopped at any time after its start.
type Loop struct {
	engine  *nbio.Engine
	stopped atomic.Bool
	stops   errgroup.Group
}

// New returns a Loop of an engine that has not started.
func New(engine *nbio.Engine) *Loop {
	l := &Loop{engine: engine}
	engine.OnAcceptError(func(error) {
		if l.stopped.Load() {
			runtime.Goexit() // Nothing else ends a goroutine whose listener was closed before it began.
		}
	})
	return l
}

// Stop stops the engine with the given function, its own Stop or that of what contains it. A goroutine that had not begun waits for
// events until the process ends.
func (l *Loop) Stop(stop func()) {
	l.stopped.Store(true)
	ended := make(chan struct{})
	l.stops.Go(func() error {
		stop()
		close(ended)
		return nil
	})
	timeout := time.NewTimer(stopTimeout)
	defer timeout.Stop()
	select {
	case <-ended:
	case <-timeout.C:
	}
}
