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
func ServedVersion(d *chicoryhall.Document, loads map[chicoryhall.EndpointID]chicoryhall.LoadReport) string {
	held := map[string][]chicoryhall.LayerRange{}
	for _, endpoint := range d.Endpoints {
		for _, layers := range loads[endpoint.ID].LoadedLayers {
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
	served      map[chicoryhall.ServiceName]servedVersion
	subscribers []func(chicoryhall.DocumentVersion)
}

// servedVersion is a document in force and its effective form, whose model has the version that is
// served.
type servedVersion struct {
	current   chicoryhall.DocumentVersion
	effective chicoryhall.DocumentVersion
}

// NewServedDocuments returns a ServedDocuments for the given documents.
func NewServedDocuments(documents chicoryhall.Documents, endpoints chicoryhall.Endpoints, timer chicoryhall.Timer, log *event.Logger) *ServedDocuments {
	s := &ServedDocuments{documents: documents, endpoints: endpoints, timer: timer, log: log, served: map[chicoryhall.ServiceName]servedVersion{}}
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

// effective returns the effective form of a document in force. Documents are compared by their
// pointers.
func (s *ServedDocuments) effective(current chicoryhall.DocumentVersion) chicoryhall.DocumentVersion {
	s.mu.Lock()
	known, ok := s.served[current.Document.Service]
	s.mu.Unlock()
	if ok && known.current.Document == current.Document {
		return known.effective
	}
	return s.update(current)
}

// update decides which version is served and notifies the subscribers of a change.
func (s *ServedDocuments) update(current chicoryhall.DocumentVersion) chicoryhall.DocumentVersion {
	version := current.Document.Model.Version
	if current.Document.Kind == chicoryhall.ServicePipeline {
		version = ServedVersion(current.Document, s.loads(current.Document))
	}
	s.mu.Lock()
	known, ok := s.served[current.Document.Service]
	unchanged := ok && known.current.Document == current.Document && known.effective.Document.Model.Version == version
	if unchanged || (ok && current.Version < known.current.Version) {
		s.mu.Unlock()
		return known.effective
	}
	effective := withVersion(current, version)
	s.served[current.Document.Service] = servedVersion{current: current, effective: effective}
	subscribers := s.subscribers
	s.mu.Unlock()
	s.log.Log(event.ModelVersionServed, "service", current.Document.Service, "version", current.Version,
		"model", current.Document.Model.Name, "wanted", current.Document.Model.Version, "served", version)
	for _, changed := range subscribers {
		changed(effective)
	}
	return effective
}

func (s *ServedDocuments) loads(d *chicoryhall.Document) map[chicoryhall.EndpointID]chicoryhall.LoadReport {
	loads := map[chicoryhall.EndpointID]chicoryhall.LoadReport{}
	for _, endpoint := range d.Endpoints {
		loads[endpoint.ID] = s.endpoints.View(endpoint.ID).Load
	}
	return loads
}

func withVersion(current chicoryhall.DocumentVersion, version string) chicoryhall.DocumentVersion {
	if current.Document.Model.Version == version {
		return current
	}
	d := *current.Document
	d.Model.Version = version
	current.Document = &d
	return current
}
