package daemon

import "chicoryhall.example/chicoryhall/placement"

// buildServing lets routing go on with a model's old version until the new one is loaded.
func (b *builder) buildServing() error {
	serving := placement.NewServing(b.documents, b.endpoints, b.timer, b.log)
	b.documents = serving
	b.knowledge.Add(serving)
	return nil
}

// buildPlacement adds the search for the failure domain's lease, and the orders under it.
func (b *builder) buildPlacement() error {
	if len(b.options.Documents) > 0 {
		return nil
	}
	b.decisions.Add(placement.NewHolder(placement.Parts{
		Self: b.settings.ID, FailureDomain: b.settings.FailureDomain, Table: b.table, Documents: b.configuration,
		Engines: b.engines, Timer: b.timer, Terms: placement.DefaultTerms(), Log: b.log,
	}))
	return nil
}
