package daemon

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

// openAdmission is a chicoryhall.Admission that starts every request at once.
type openAdmission struct{}

type openPermit struct{}

func (b *builder) buildAdmission() error {
	b.admission = openAdmission{}
	return nil
}

// Enter starts the request.
func (openAdmission) Enter(_ chicoryhall.AdmissionQuery, start func(chicoryhall.Permit), _ func(time.Duration, string)) {
	start(openPermit{})
}

// Release does nothing.
func (openPermit) Release() {}
