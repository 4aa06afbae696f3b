package quarantine

import "slices"

// Content is what a request is recognised by: the fingerprint of its whole content, and those of the parts of its prompt
// that other requests may share, in their order.
type Content struct {
	Whole Fingerprint
	Parts []Fingerprint
}

// fingerprints returns all of the content's fingerprints.
func (c Content) fingerprints() []Fingerprint { return append(slices.Clone(c.Parts), c.Whole) }
