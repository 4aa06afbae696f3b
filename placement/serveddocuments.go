package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
)

// updatePeriod is the time between two checks of which version can be served.
const updatePeriod = 200 * time.Millisecond

// ServedVersion returns the version of the document's model to route by. It is the document's own
// version if a chain of endpoints holds it. Otherwise it is, among the versions that a chain holds,
// the one with the most loaded layer ranges; of equal ones the greater version string. If no
// version has a chain, it is the document's own.
func ServedVersion(d *chicoryhall.Document, reports map[chicoryhall.EndpointID]chicoryhall.LoadReport) string {
	held := map[string][]chicoryhall.LayerRange{}
	for _, endpoint := range d.Endpoints {
		for _, layers := range reports[endpoint.ID].LoadedLayers {
			if layers.Model == d.Model.Name {
				held[layers.Version] = append(held[layers.Version], layers)
			}
		}
	}
	if coversAllLayers(held[d.Model.Version], d.Model.Layers) {
		return d.Model.Version
	}
	best := d.Model.Version
	most := 0
	for version, layers := range held {
		count := len(layers)
		if coversAllLayers(layers, d.Model.Layers) && (count > most || (count == most && version > best)) {
			best, most = version, count
		}
	}
	return best
}

// ServedDocuments is a chicoryhall.Documents whose models have the version that can be served now.
// It is safe for concurrent use.
type ServedDocuments struct {
	documents chicoryhall.Documents
	endpoints chicoryhall.Endpoints
	timer     chicoryhall.Timer
	log       *event.Logger

	mu          sync.Mutex
	served      map[chicoryhall.ServiceName]servedDocument
	subscribers []func(chicoryhall.DocumentVersion)
}

// servedDocument is a document in force and its effective form, whose model has the version that is
// served.
type servedDocument struct {
	current   chicoryhall.DocumentVersion
	effective chicoryhall.DocumentVersion
}

// NewServedDocuments returns a ServedDocuments for the given documents.
func NewServedDocuments(documents chicoryhall.Documents, endpoints chicoryhall.Endpoints, timer chicoryhall.Timer, log *event.Logger) *ServedDocuments {
	s := &ServedDocuments{documents: documents, endpoints: endpoints, timer: timer, log: log, served: map[chicoryhall.ServiceName]servedDocument{}}
	documents.Subscribe(func(current chicoryhall.DocumentVersion) { s.update(current) })
	return s
}

// Serve checks periodically which versions can be served, until ctx ends.
func (s *ServedDocuments) Serve(ctx context.Context) error {
	ticks := s.timer.Every(updatePeriod, func(time.Time) {
		for _, current := range s.documents.All() {
			s.update(current)
		}
	})
	defer ticks.Cancel()
	<-ctx.Done()
	return ctx.Err()
}

// Current returns the document of one service with the version that can be served.
func (s *ServedDocuments) Current(service chicoryhall.ServiceName) (chicoryhall.DocumentVersion, bool) {
	current, known := s.documents.Current(service)
	if !known {
		return chicoryhall.DocumentVersion{}, false
	}
	return s.effective(current), true
}

// All returns every service's document, ordered by name.
func (s *ServedDocuments) All() []chicoryhall.DocumentVersion {
	all := slices.Clone(s.documents.All())
	for i := range all {
		all[i] = s.effective(all[i])
	}
	return all
}

// Subscribe calls changed for each new document and each change of the served version.
func (s *ServedDocuments) Subscribe(changed func(chicoryhall.DocumentVersion)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, changed)
}

// effective returns the effective form of a document in force. It calls update, which may notify
// the subscribers, for a document that is new to it. Documents are compared by their pointers.
func (s *ServedDocuments) effective(current chicoryhall.DocumentVersion) chicoryhall.DocumentVersion {
	s.mu.Lock()
	known, ok := s.served[current.Document.Service]
	s.mu.Unlock()
	if ok && known.current.Document == current.Document {
		return known.effective
	}
	return s.update(current)
}

// update decides which model version is served and notifies the subscribers of a change.
func (s *ServedDocuments) update(current chicoryhall.DocumentVersion) chicoryhall.DocumentVersion {
	modelVersion := current.Document.Model.Version
	if current.Document.Kind == chicoryhall.ServicePipeline {
		modelVersion = ServedVersion(current.Document, s.reports(current.Document))
	}
	s.mu.Lock()
	known, ok := s.served[current.Document.Service]
	unchanged := ok && known.current.Document == current.Document && known.effective.Document.Model.Version == modelVersion
	if unchanged || (ok && current.Version < known.current.Version) {
		s.mu.Unlock()
		return known.effective
	}
	effective := withModelVersion(current, modelVersion)
	s.served[current.Document.Service] = servedDocument{current: current, effective: effective}
	subscribers := s.subscribers
	s.mu.Unlock()
	s.log.Log(event.ModelVersionServed, "service", current.Document.Service, "version", current.Version,
		"model", current.Document.Model.Name, "wanted", current.Document.Model.Version, "served", modelVersion)
	for _, changed := range subscribers {
		changed(effective)
	}
	return effective
}

func (s *ServedDocuments) reports(d *chicoryhall.Document) map[chicoryhall.EndpointID]chicoryhall.LoadReport {
	reports := map[chicoryhall.EndpointID]chicoryhall.LoadReport{}
	for _, endpoint := range d.Endpoints {
		reports[endpoint.ID] = s.endpoints.View(endpoint.ID).Load
	}
	return reports
}

func withModelVersion(current chicoryhall.DocumentVersion, modelVersion string) chicoryhall.DocumentVersion {
	if current.Document.Model.Version == modelVersion {
		return current
	}
	d := *current.Document
	d.Model.Version = modelVersion
	current.Document = &d
	return current
}
