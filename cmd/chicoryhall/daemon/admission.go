package daemon

import "chicoryhall.example/chicoryhall/admission"

// buildAdmission adds the decision which requests start.
func (b *builder) buildAdmission() error {
	b.admission = admission.New(b.timer, b.documents, b.endpoints, b.members)
	return nil
}
