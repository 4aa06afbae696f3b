package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/vmlist"
	"chicoryhall.example/chicoryhall/watch"
)

const (
	// loadTimeout bounds one request for an endpoint's load.
	loadTimeout = 500 * time.Millisecond
	// loadProbeTimeout bounds the probe over a new connection after a poll without a response.
	loadProbeTimeout = 250 * time.Millisecond
	// maxPolls bounds the polls in progress. A poll beyond it is skipped.
	maxPolls = 256
)

// buildEndpoints adds the view of the endpoints' states, which is updated by load reports, peers and this daemon's traffic.
func (b *builder) buildEndpoints() error {
	loads := &loadPoller{engines: b.engines}
	loads.polls.SetLimit(maxPolls)
	view := watch.New(watch.Config{Timer: b.timer, Documents: b.documents, Members: b.members, Loads: loads})
	b.endpoints = view
	b.knowledge.Add(view)
	b.knowledge.Add(watch.NewGossip(view, b.node, xxhash.Sum64String(string(b.settings.ID))))
	return b.buildVMList(view)
}

// buildVMList adds the reader of the platform's VM list, which tells the view which VMs are leaving.
func (b *builder) buildVMList(view *watch.Watch) error {
	if b.settings.Platform.VMList == "" {
		return nil
	}
	client, err := vmlist.NewClient(b.settings.Platform.VMList)
	if err != nil {
		return err
	}
	b.knowledge.Add(client)
	b.knowledge.Add(watch.NewVMListReader(view, client))
	return nil
}

// loadPoller is a watch.LoadFetcher over the engine client.
type loadPoller struct {
	engines *engine.Client
	polls   errgroup.Group
}

// Load polls one endpoint and calls done with the result. It does nothing if maxPolls are in progress.
func (l *loadPoller) Load(address string, done func(chicoryhall.LoadReport, chicoryhall.Observation)) {
	l.polls.TryGo(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
		defer cancel()
		load, err := l.engines.Load(ctx, address)
		if err == nil {
			done(load, chicoryhall.ObservedProgress)
			return nil
		}
		done(chicoryhall.LoadReport{}, l.classify(address, err))
		return nil
	})
}

// classify returns what a failed poll says about the endpoint. Unless the connection was refused, it first probes the
// endpoint over a new connection, as only the old connection may be broken.
func (l *loadPoller) classify(address string, err error) chicoryhall.Observation {
	if isRefused(err) {
		return chicoryhall.ObservedRefusedConnection
	}
	l.engines.CloseIdle(address)
	ctx, cancel := context.WithTimeout(context.Background(), loadProbeTimeout)
	defer cancel()
	err = l.engines.Probe(ctx, address)
	switch {
	case err == nil:
		return chicoryhall.ObservedSlow
	case isRefused(err):
		return chicoryhall.ObservedRefusedConnection
	default:
		return chicoryhall.ObservedSilence
	}
}

func isRefused(err error) bool {
	var failure *engine.Error
	return errors.As(err, &failure) && failure.Kind() == engine.FailureRefused
}
