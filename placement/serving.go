package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
)

// updatePeriod lies between two looks at which version can be served.
const updatePeriod = 200 * time.Millisecond

// ServedVersion returns the version of the document's model to route by: the wanted one if
// a chain of engines holds it or none holds any, or else the one that most engines hold.
func ServedVersion(d *chicoryhall.Document, loads map[chicoryhall.EndpointID]chicoryhall.LoadReport) string {
	held := map[string][]chicoryhall.LayerRange{}
	for _, endpoint := range d.Endpoints {
		for _, holding := range loads[endpoint.ID].LoadedLayers {
			if holding.Model == d.Model.Name {
				held[holding.Version] = append(held[holding.Version], holding)
			}
		}
	}
	if coversAllLayers(held[d.Model.Version], d.Model.Layers) {
		return d.Model.Version
	}
	best := d.Model.Version
	most := 0
	for version, holdings := range held {
		count := len(holdings)
		if coversAllLayers(holdings, d.Model.Layers) && (count > most || (count == most && version > best)) {
			best, most = version, count
		}
	}
	return best
}

// ServedDocuments is a chicoryhall.Documents whose models have the version that can be served now.
type ServedDocuments struct {
	documents chicoryhall.Documents
	endpoints chicoryhall.Endpoints
	timer     chicoryhall.Timer
	log       *event.Logger

	mu          sync.Mutex
	served      map[chicoryhall.ServiceName]servedVersion
	subscribers []func(chicoryhall.DocumentVersion)
}

// servedVersion is a version in force and what stands in for it.
type servedVersion struct {
	current   chicoryhall.DocumentVersion
	effective chicoryhall.DocumentVersion
}

// NewServedDocuments returns a Serving over the versions in force.
func NewServedDocuments(documents chicoryhall.Documents, endpoints chicoryhall.Endpoints, timer chicoryhall.Timer, log *event.Logger) *ServedDocuments {
	s := &ServedDocuments{documents: documents, endpoints: endpoints, timer: timer, log: log, served: map[chicoryhall.ServiceName]servedVersion{}}
	documents.Subscribe(func(inForce chicoryhall.DocumentVersion) { s.update(inForce) })
	return s
}

// Serve looks at the engines' holdings until ctx ends.
func (s *ServedDocuments) Serve(ctx context.Context) error {
	ticks := s.timer.Every(updatePeriod, func(time.Time) {
		for _, inForce := range s.documents.All() {
			s.update(inForce)
		}
	})
	defer ticks.Cancel()
	<-ctx.Done()
	return ctx.Err()
}

// Current returns the document of one service with the version that can be served.
func (s *ServedDocuments) Current(service chicoryhall.ServiceName) (chicoryhall.DocumentVersion, bool) {
	inForce, known := s.documents.Current(service)
	if !known {
		return chicoryhall.DocumentVersion{}, false
	}
	return s.effective(inForce), true
}

// All returns every service's document, ordered by name.
func (s *ServedDocuments) All() []chicoryhall.DocumentVersion {
	all := slices.Clone(s.documents.All())
	for i := range all {
		all[i] = s.effective(all[i])
	}
	return all
}

// Subscribe calls changed for each new version and each change of the served one.
func (s *ServedDocuments) Subscribe(changed func(chicoryhall.DocumentVersion)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, changed)
}

// effective returns what stands in for a version in force.
func (s *ServedDocuments) effective(inForce chicoryhall.DocumentVersion) chicoryhall.DocumentVersion {
	s.mu.Lock()
	known, ok := s.served[inForce.Document.Service]
	s.mu.Unlock()
	if ok && known.current.Document == inForce.Document {
		return known.effective
	}
	return s.update(inForce)
}

// update decides which version is served and tells the subscribers of a change.
func (s *ServedDocuments) update(inForce chicoryhall.DocumentVersion) chicoryhall.DocumentVersion {
	version := inForce.Document.Model.Version
	if inForce.Document.Kind == chicoryhall.ServicePipeline {
		version = ServedVersion(inForce.Document, s.loads(inForce.Document))
	}
	s.mu.Lock()
	known, ok := s.served[inForce.Document.Service]
	unchanged := ok && known.current.Document == inForce.Document && known.effective.Document.Model.Version == version
	if unchanged || (ok && inForce.Version < known.current.Version) {
		s.mu.Unlock()
		return known.effective
	}
	given := withVersion(inForce, version)
	s.served[inForce.Document.Service] = servedVersion{current: inForce, effective: given}
	subscribers := s.subscribers
	s.mu.Unlock()
	s.log.Log(event.ModelVersionServed, "service", inForce.Document.Service, "version", inForce.Version,
		"model", inForce.Document.Model.Name, "wanted", inForce.Document.Model.Version, "served", version)
	for _, changed := range subscribers {
		changed(given)
	}
	return given
}

func (s *ServedDocuments) loads(d *chicoryhall.Document) map[chicoryhall.EndpointID]chicoryhall.LoadReport {
	loads := map[chicoryhall.EndpointID]chicoryhall.LoadReport{}
	for _, endpoint := range d.Endpoints {
		loads[endpoint.ID] = s.endpoints.View(endpoint.ID).Load
	}
	return loads
}

func withVersion(inForce chicoryhall.DocumentVersion, version string) chicoryhall.DocumentVersion {
	if inForce.Document.Model.Version == version {
		return inForce
	}
	d := *inForce.Document
	d.Model.Version = version
	inForce.Document = &d
	return inForce
}
