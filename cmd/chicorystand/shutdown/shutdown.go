package shutdown

import (
	"context"
	"time"
)

// Timeout bounds the time that Engine takes.
const Timeout = time.Second

// Stopper is an event loop of nbio or nbhttp.
type Stopper interface {
	// Shutdown closes all connections and returns once they are closed, or when ctx ends.
	Shutdown(ctx context.Context) error
}

// Engine stops an event loop. nbio waits for ever for a connection that opens while it stops; after Timeout, that one is
// left to the end of the process.
func Engine(engine Stopper) {
	ctx, cancel := context.WithTimeout(context.Background(), Timeout)
	defer cancel()
	_ = engine.Shutdown(ctx) // It fails only if ctx ends.
}
