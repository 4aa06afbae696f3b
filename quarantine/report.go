package quarantine

// Involvement says that an attempt of a request was lost when an endpoint crashed.
type Involvement struct {
	Fingerprint Fingerprint `json:"f"`
	// Content is that of the request if Fingerprint is one of a part of its prompt, and 0 otherwise.
	Content Fingerprint `json:"c,omitempty"`
	// Attempt identifies the attempt among all of all daemons.
	Attempt string `json:"a"`
	Incarnation
	// Position is the ID of the last event of the answer that the caller had received, or 0.
	Position int64 `json:"p,omitempty"`
	// Events is the number of events that the attempt itself had made.
	Events int64 `json:"m,omitempty"`
	// Later is set if another crash had explained the loss before this one became known. The endpoint may have survived the
	// attempt then and crashed for another reason.
	Later bool `json:"l,omitempty"`
	// Isolated is set if the endpoint was reserved for the attempt, see Reservations.
	Isolated bool `json:"s,omitempty"`
}

// IsPart reports whether the fingerprint is one of a part of a prompt.
func (i Involvement) IsPart() bool { return i.Content != 0 }

// Clearance withdraws all involvements of a fingerprint in a crash: a request with the fingerprint has run since, beyond
// the point at which it was lost.
type Clearance struct {
	Fingerprint Fingerprint `json:"f"`
	Incarnation
}

// Report is what one daemon knows of crashes first hand. A daemon writes its own report only, so that reports never
// conflict.
type Report struct {
	Involved []Involvement `json:"involved,omitempty"`
	Cleared  []Clearance   `json:"cleared,omitempty"`
}
