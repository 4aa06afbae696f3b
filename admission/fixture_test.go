package admission_test

import (
	"fmt"
	"time"

	"chicoryhall.example/chicoryhall"
)

var startTime = time.Unix(1_000_000, 0)

// fakeDocuments is a chicoryhall.Documents with a single document.
type fakeDocuments struct{ document *chicoryhall.Document }

func (f *fakeDocuments) Current(service chicoryhall.ServiceName) (chicoryhall.DocumentVersion, bool) {
	return chicoryhall.DocumentVersion{Document: f.document, Version: 1}, f.document.Service == service
}

func (f *fakeDocuments) All() []chicoryhall.DocumentVersion { return nil }

func (f *fakeDocuments) Subscribe(func(chicoryhall.DocumentVersion)) {}

// fakeEndpoints is a chicoryhall.Endpoints whose endpoints are ready unless a state is set.
type fakeEndpoints struct {
	states  map[chicoryhall.EndpointID]chicoryhall.EndpointState
	changed func(chicoryhall.EndpointID, chicoryhall.EndpointState)
}

func newFakeEndpoints() *fakeEndpoints {
	return &fakeEndpoints{states: make(map[chicoryhall.EndpointID]chicoryhall.EndpointState)}
}

func (f *fakeEndpoints) View(id chicoryhall.EndpointID) chicoryhall.EndpointView {
	return chicoryhall.EndpointView{State: f.states[id]}
}

func (f *fakeEndpoints) Observe(chicoryhall.EndpointID, chicoryhall.Observation) {}

func (f *fakeEndpoints) Begin(chicoryhall.EndpointID) {}

func (f *fakeEndpoints) End(chicoryhall.EndpointID) {}

func (f *fakeEndpoints) Subscribe(changed func(chicoryhall.EndpointID, chicoryhall.EndpointState)) {
	f.changed = changed
}

func (f *fakeEndpoints) set(id chicoryhall.EndpointID, state chicoryhall.EndpointState) {
	f.states[id] = state
	f.changed(id, state)
}

// fakeMembers is a chicoryhall.Members with the given number of other daemons.
type fakeMembers struct{ others int }

func (f *fakeMembers) Self() chicoryhall.Member { return chicoryhall.Member{ID: "self"} }

func (f *fakeMembers) Others() []chicoryhall.Member {
	all := make([]chicoryhall.Member, f.others)
	for i := range all {
		all[i].ID = chicoryhall.DaemonID(fmt.Sprintf("d%d", i))
	}
	return all
}

func (f *fakeMembers) Subscribe(func(chicoryhall.Member)) {}

// bookingDocument returns a plain service with a class of availability checks that has priority
// over one of drafts.
func bookingDocument(endpoints int) *chicoryhall.Document {
	document := &chicoryhall.Document{
		Service: "booking",
		Kind:    chicoryhall.ServicePlain,
		Classes: []chicoryhall.DocumentClass{
			{Name: "draft", Priority: 5, Timeout: 4 * time.Second},
			{Name: "availability", Priority: 0, Timeout: time.Second},
		},
		Organisations: []chicoryhall.DocumentOrganisation{
			{Name: "large", Share: 1}, {Name: "small", Share: 1}, {Name: "double", Share: 2},
		},
	}
	for i := range endpoints {
		document.Endpoints = append(document.Endpoints, chicoryhall.DocumentEndpoint{
			ID: chicoryhall.EndpointID(fmt.Sprintf("p%d", i)),
		})
	}
	return document
}
