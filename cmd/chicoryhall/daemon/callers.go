package daemon

import (
	"context"
	"slices"

	"chicoryhall.example/chicoryhall/caller"
	"chicoryhall.example/chicoryhall/requests"
	"chicoryhall.example/chicoryhall/settings"
)

// buildRequests adds the component that runs requests.
func (b *builder) buildRequests() error {
	b.metrics = requests.NewMetrics()
	b.requests = requests.New(requests.Config{
		Self: b.settings.ID, FailureDomain: b.settings.FailureDomain,
		Timer: b.timer, Engines: b.engines, Documents: b.documents, Endpoints: b.endpoints,
		Router: b.router, Admission: b.admission, Replicator: b.keeper, Claims: b.claims, IdempotencyKeys: b.keys,
		RemoteRequests: b.forwarder, RateLimits: b.limits, RetryBudgets: b.retries, Quarantine: b.quarantine, Log: b.log, Metrics: b.metrics,
	})
	b.holder.SetRequests(b.requests)
	b.interfaces.Add(b.requests)
	return nil
}

// buildCallers adds the caller API.
func (b *builder) buildCallers() error {
	ready := &readiness{
		timer: b.timer, documents: b.documents, endpoints: b.endpoints, documentsRead: b.configuration.Ready,
		members: b.members, hasSeeds: hasOtherSeeds(b.settings),
	}
	server := caller.NewServer(caller.Config{
		Address: b.settings.Listen.Callers, TLS: b.tls, Timer: b.timer, Documents: b.documents,
		Requests: b.requests, RemoteRequests: b.forwarder, Metrics: b.metrics, Ready: ready.check, Log: b.log,
		ExtraMetrics: append(b.decisionMetrics, b.peerMetrics.WritePrometheus),
	})
	b.interfaces.Add(server)
	b.drains = append(b.drains, func(context.Context) { ready.draining.Store(true) }, b.requests.Drain)
	return nil
}

// hasOtherSeeds reports whether the settings name daemons other than this one.
func hasOtherSeeds(own settings.DocumentDaemon) bool {
	return slices.ContainsFunc(own.Seeds, func(seed string) bool { return seed != own.PeerAddress() })
}
