package admission

import (
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

// Admission is a chicoryhall.Admission over the services' documents in force.
type Admission struct {
	timer     chicoryhall.Timer
	documents chicoryhall.Documents
	endpoints chicoryhall.Endpoints
	members   chicoryhall.Members

	mu       sync.Mutex
	services map[chicoryhall.ServiceName]*service
}

// service is what this daemon runs of one service.
type service struct {
	running int
}

// New returns an Admission whose limits follow the documents, the live endpoints and the
// number of daemons that share them.
func New(timer chicoryhall.Timer, documents chicoryhall.Documents, endpoints chicoryhall.Endpoints,
	members chicoryhall.Members,
) *Admission {
	return &Admission{
		timer:     timer,
		documents: documents,
		endpoints: endpoints,
		members:   members,
		services:  make(map[chicoryhall.ServiceName]*service),
	}
}

// retryAfterFull is when a refused caller shall come back.
const retryAfterFull = time.Second

// Enter calls start at once below the service's limit and refuse above it.
func (a *Admission) Enter(query chicoryhall.AdmissionQuery, start func(chicoryhall.Permit),
	refuse func(retryAfter time.Duration, reason string),
) {
	inForce, ok := a.documents.InForce(query.Service)
	if !ok {
		refuse(retryAfterFull, "service "+string(query.Service)+" is not known here")
		return
	}
	limit := concurrencyLimit(inForce.Document, a.endpoints.View, a.daemons())
	a.mu.Lock()
	s := a.services[query.Service]
	if s == nil {
		s = &service{}
		a.services[query.Service] = s
	}
	full := s.running >= limit
	if !full {
		s.running++
	}
	a.mu.Unlock()
	if full {
		refuse(retryAfterFull, "service "+string(query.Service)+" is at its concurrency limit")
		return
	}
	start(&permit{admission: a, service: s})
}

// daemons returns the number of daemons that share the endpoints, this one included.
func (a *Admission) daemons() int {
	alive := 1
	for _, member := range a.members.All() {
		if member.State == chicoryhall.MemberAlive {
			alive++
		}
	}
	return alive
}

// permit is one place of a service.
type permit struct {
	admission *Admission
	service   *service
	once      sync.Once
}

// Release gives the place back.
func (p *permit) Release() {
	p.once.Do(func() {
		p.admission.mu.Lock()
		p.service.running--
		p.admission.mu.Unlock()
	})
}
