package capacity

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/admission"
	"chicoryhall.example/chicoryhall/timer"
)

// The name of the measurement for the admission of requests.
const admissionTime = "admission time"

func admissionExperiments() []Experiment {
	return []Experiment{{
		name: admissionTime, unit: "µs", driver: "organisations of the service", sizes: []int{10, 70, 280}, measure: measureAdmission,
	}}
}

func measureAdmission(organisations int) (float64, error) {
	clock := timer.NewManual(time.Unix(0, 0))
	document := documentOf(enginesPerModel, organisations)
	documents := &fakeDocuments{all: []chicoryhall.DocumentVersion{{Document: document, Version: 1}}}
	controller := admission.New(clock, documents, fakeEndpoints{}, membersOf(designDaemons))
	next := 0
	return microseconds(func() {
		next++
		controller.Acquire(chicoryhall.AdmissionQuery{
			Service:          document.Service,
			Class:            document.Classes[0].Name,
			Organisation:     document.Organisations[next%organisations].Name,
			Deadline:         clock.Now().Add(time.Minute),
			ExpectedDuration: time.Second,
			Tokens:           280,
		}, func(permit chicoryhall.Permit) { permit.Release() }, func(time.Duration, string) {})
	}), nil
}
