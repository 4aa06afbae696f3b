package daemon

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/watch"
)

const (
	// loadTimeout bounds one poll of an endpoint's load.
	loadTimeout = time.Second
	// maxPolls bounds the polls in progress; more of them wait.
	maxPolls = 256
)

// buildEndpoints adds the view of endpoints, fed by load reports and this daemon's traffic.
func (b *builder) buildEndpoints() error {
	loads := &loadPoller{engines: b.engines}
	loads.polls.SetLimit(maxPolls)
	view := watch.New(watch.Config{Timer: b.timer, Documents: b.documents, Loads: loads})
	b.endpoints = view
	b.knowledge.Add(view)
	return nil
}

// loadPoller is a watch.Loads over the engine client.
type loadPoller struct {
	engines *engine.Client
	polls   errgroup.Group
}

// Load polls one endpoint; a poll above maxPolls is left out.
func (l *loadPoller) Load(address string, done func(chicoryhall.Load, error)) {
	l.polls.TryGo(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
		defer cancel()
		done(l.engines.Load(ctx, address))
		return nil
	})
}
