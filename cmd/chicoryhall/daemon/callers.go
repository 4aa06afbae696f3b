package daemon

import (
	"context"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/caller"
	"chicoryhall.example/chicoryhall/requests"
)

// The reasons for which a daemon is not ready.
var (
	errDraining    = errors.New("the daemon is stopping")
	errNoDocuments = errors.New("no service document is in force here yet")
)

// readiness tells whether the daemon may get requests.
type readiness struct {
	documents chicoryhall.Documents
	// known tells whether the documents were read from the table or a peer.
	known    func() error
	draining atomic.Bool
}

func (r *readiness) check() error {
	if r.draining.Load() {
		return errDraining
	}
	if err := r.known(); err != nil {
		return err
	}
	if len(r.documents.All()) == 0 {
		return errNoDocuments
	}
	return nil
}

// buildRequests adds the part that runs requests.
func (b *builder) buildRequests() error {
	b.metrics = requests.NewMetrics()
	b.requests = requests.New(requests.Parts{
		Self: b.settings.ID, FailureDomain: b.settings.FailureDomain,
		Timer: b.timer, Engines: b.engines, Documents: b.documents, Endpoints: b.endpoints,
		Router: b.router, Admission: b.admission, Keeper: b.keeper, Claims: b.claims,
		Retries: b.retries, Quarantine: b.quarantine, Log: b.log, Metrics: b.metrics,
	})
	b.interfaces.Add(b.requests)
	return nil
}

// buildCallers adds the callers' interface.
func (b *builder) buildCallers() error {
	ready := &readiness{documents: b.documents, known: b.configuration.Ready}
	server := caller.NewServer(caller.Parts{
		Address: b.settings.Listen.Callers, Timer: b.timer, Documents: b.documents,
		Requests: b.requests, Forwarder: b.forwarder, Metrics: b.metrics, Ready: ready.check, Log: b.log,
		MoreMetrics: []func(io.Writer){b.peerMetrics.WritePrometheus},
	})
	b.interfaces.Add(server)
	b.drains = append(b.drains, func(context.Context) { ready.draining.Store(true) }, b.requests.Drain)
	return nil
}
