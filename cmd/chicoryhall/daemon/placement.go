package daemon

import "chicoryhall.example/chicoryhall/placement"

// buildServing replaces the documents, for the components built after it, by a view in which a new model version appears
// only once engines for all layers have loaded it. Until then, requests are routed to the old version.
func (b *builder) buildServing() error {
	serving := placement.NewServedDocuments(b.documents, b.endpoints, b.timer, b.log)
	b.documents = serving
	b.knowledge.Add(serving)
	return nil
}

// buildPlacement adds the component that tries to acquire the lease for placement in its failure domain. While it has
// the lease, it orders the engines there to hold certain layers. It needs the platform's table, so it
// is left out if documents come from files.
func (b *builder) buildPlacement() error {
	if len(b.options.Documents) > 0 {
		return nil
	}
	b.decisions.Add(placement.NewController(placement.ControllerConfig{
		Self: b.settings.ID, FailureDomain: b.settings.FailureDomain, Table: b.table, Documents: b.configuration,
		Client: b.engines, Timer: b.timer, Options: placement.DefaultOptions(), Log: b.log,
	}))
	return nil
}
