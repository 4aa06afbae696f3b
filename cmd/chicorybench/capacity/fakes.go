package capacity

import (
	"fmt"
	"time"

	"chicoryhall.example/chicoryhall"
)

// fakeDocuments holds documents that never change.
type fakeDocuments struct {
	all []chicoryhall.DocumentVersion
}

func (f *fakeDocuments) Current(service chicoryhall.ServiceName) (chicoryhall.DocumentVersion, bool) {
	for _, current := range f.all {
		if current.Document.Service == service {
			return current, true
		}
	}
	return chicoryhall.DocumentVersion{}, false
}

func (f *fakeDocuments) All() []chicoryhall.DocumentVersion { return f.all }

func (f *fakeDocuments) Subscribe(func(chicoryhall.DocumentVersion)) {}

// fakeEndpoints reports every endpoint as ready and without load.
type fakeEndpoints struct{}

func (fakeEndpoints) View(chicoryhall.EndpointID) chicoryhall.EndpointView {
	return chicoryhall.EndpointView{State: chicoryhall.EndpointReady}
}

func (fakeEndpoints) Observe(chicoryhall.EndpointID, chicoryhall.Observation) {}

func (fakeEndpoints) Begin(chicoryhall.EndpointID) {}

func (fakeEndpoints) End(chicoryhall.EndpointID) {}

func (fakeEndpoints) Subscribe(func(chicoryhall.EndpointID, chicoryhall.EndpointState)) {}

// fakeMembers holds a fixed set of daemons.
type fakeMembers struct {
	self   chicoryhall.Member
	others []chicoryhall.Member
}

func (f *fakeMembers) Self() chicoryhall.Member { return f.self }

func (f *fakeMembers) Others() []chicoryhall.Member { return f.others }

func (f *fakeMembers) Subscribe(func(chicoryhall.Member)) {}

// membersOf returns the members as seen by the first of count daemons, which are distributed over designDomains failure
// domains.
func membersOf(count int) *fakeMembers {
	f := &fakeMembers{}
	for i := range count {
		member := chicoryhall.Member{
			ID:            chicoryhall.DaemonID(fmt.Sprintf("domain%d-entry%03d", i%designDomains, i)),
			Region:        chicoryhall.Region(fmt.Sprintf("region%d", i%designDomains%2)),
			FailureDomain: domainOf(i),
			PeerAddress:   fmt.Sprintf("10.%d.%d.%d:7946", i%designDomains, i/250, i%250),
			CallerAddress: fmt.Sprintf("10.%d.%d.%d:8080", i%designDomains, i/250, i%250),
			Incarnation:   1_796_330_000_000 + int64(i),
		}
		if i == 0 {
			f.self = member
			continue
		}
		f.others = append(f.others, member)
	}
	return f
}

// domainOf returns the failure domain of the i-th daemon or engine.
func domainOf(i int) chicoryhall.FailureDomain {
	return chicoryhall.FailureDomain(fmt.Sprintf("domain%d", i%designDomains))
}

// documentOf returns the document of a pipeline service. Each engine holds one of three ranges of layers. The engines
// of each range are distributed evenly over the failure domains, and those of a domain over the kinds of accelerators.
func documentOf(engines, organisations int) *chicoryhall.Document {
	const ranges, layers = 3, 24
	document := &chicoryhall.Document{
		Service: "service",
		Kind:    chicoryhall.ServicePipeline,
		Model:   chicoryhall.DocumentModel{Name: "model", Version: "1", Layers: layers, KVBytes: 4096},
		Classes: []chicoryhall.DocumentClass{{Name: "class", Idempotent: true, Timeout: time.Minute}},
		Retries: chicoryhall.DocumentRetries{BudgetPercent: 20, MaxEndpoints: 4},
		Accelerators: []chicoryhall.DocumentAccelerator{
			{Kind: "large", StepTime: 4 * time.Millisecond, LayerTokenTime: 30 * time.Microsecond, MaxBatch: 16},
			{Kind: "medium", StepTime: 6 * time.Millisecond, LayerTokenTime: 45 * time.Microsecond, MaxBatch: 16},
			{Kind: "small", StepTime: 9 * time.Millisecond, LayerTokenTime: 70 * time.Microsecond, MaxBatch: 16},
		},
	}
	for i := range engines {
		from := i % ranges * layers / ranges
		document.Endpoints = append(document.Endpoints, chicoryhall.DocumentEndpoint{
			ID:            chicoryhall.EndpointID(fmt.Sprintf("engine%04d", i)),
			Address:       fmt.Sprintf("10.9.%d.%d:9000", i/250, i%250),
			FailureDomain: domainOf(i / ranges),
			Accelerator:   document.Accelerators[i/ranges/designDomains%3].Kind,
			From:          from,
			To:            from + layers/ranges,
		})
	}
	for i := range organisations {
		document.Organisations = append(document.Organisations, chicoryhall.DocumentOrganisation{
			Name:              chicoryhall.Organisation(fmt.Sprintf("organisation%03d", i)),
			Credential:        fmt.Sprintf("sha256:%064d", i),
			Share:             1,
			RequestsPerSecond: 100,
		})
	}
	return document
}
