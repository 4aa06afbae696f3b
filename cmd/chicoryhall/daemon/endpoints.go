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
	// loadTimeout bounds one poll of an endpoint's load.
	loadTimeout = 500 * time.Millisecond
	// loadProbeTimeout bounds the question on a new connection after a poll without an answer.
	loadProbeTimeout = 250 * time.Millisecond
	// maxPolls bounds the polls in progress; more of them wait.
	maxPolls = 256
)

// buildEndpoints adds the view of endpoints, fed by load reports, peers and this daemon's traffic.
func (b *builder) buildEndpoints() error {
	loads := &loadPoller{engines: b.engines}
	loads.polls.SetLimit(maxPolls)
	view := watch.New(watch.Config{Timer: b.timer, Documents: b.documents, Members: b.members, Loads: loads})
	b.endpoints = view
	b.knowledge.Add(view)
	b.knowledge.Add(watch.NewExchange(view, b.node, xxhash.Sum64String(string(b.settings.ID))))
	return b.buildVMList(view)
}

// buildVMList lets the view hear of leaving VMs by the platform's list.
func (b *builder) buildVMList(view *watch.Watch) error {
	if b.settings.Platform.VMList == "" {
		return nil
	}
	client, err := vmlist.NewClient(b.settings.Platform.VMList)
	if err != nil {
		return err
	}
	b.knowledge.Add(client)
	b.knowledge.Add(watch.NewVMs(view, client))
	return nil
}

// loadPoller is a watch.Loads over the engine client.
type loadPoller struct {
	engines *engine.Client
	polls   errgroup.Group
}

// Load polls one endpoint; a poll above maxPolls is left out.
func (l *loadPoller) Load(address string, done func(chicoryhall.LoadReport, chicoryhall.Observation)) {
	l.polls.TryGo(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
		defer cancel()
		load, err := l.engines.Load(ctx, address)
		if err == nil {
			done(load, chicoryhall.ObservedProgress)
			return nil
		}
		done(chicoryhall.LoadReport{}, l.judge(address, err))
		return nil
	})
}

// judge asks on a new connection before a silent endpoint is suspected.
func (l *loadPoller) judge(address string, err error) chicoryhall.Observation {
	if isRefused(err) {
		return chicoryhall.ObservedRefusedConnection
	}
	l.engines.ForgetIdle(address)
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
