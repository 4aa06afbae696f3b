package operator

import (
	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/configuration"
	"chicoryhall.example/chicoryhall/strict"
)

// The media types of the interface.
const (
	mediaTypeYAML    = "application/yaml"
	mediaTypeJSON    = "application/json"
	mediaTypeProblem = "application/problem+json"
)

// DocumentList answers a list.
type DocumentList struct {
	Documents []configuration.Mark `json:"documents"`
}

// Accepted answers a change.
type Accepted struct {
	Service chicoryhall.ServiceName `json:"service"`
	Number  int64                   `json:"number"`
	Digest  string                  `json:"digest"`
	// Warnings tell what the change takes away, and its risks.
	Warnings []string `json:"warnings,omitempty"`
}

// CheckResult answers a check; the text may be applied when Problems holds warnings only.
type CheckResult struct {
	// Number is that of the version in force, or 0.
	Number     int64           `json:"number"`
	Problems   strict.Problems `json:"problems,omitempty"`
	Effects    []string        `json:"effects,omitempty"`
	Difference string          `json:"difference,omitempty"`
}

// HistoryEntry is one accepted version.
type HistoryEntry struct {
	Number         int64  `json:"number"`
	Digest         string `json:"digest"`
	Author         string `json:"author"`
	AcceptedMillis int64  `json:"acceptedMillis"`
}

// History answers with all versions, oldest first.
type History struct {
	Versions []HistoryEntry `json:"versions"`
}

// DaemonVersion tells which version of the service one daemon has in force, 0 for none.
type DaemonVersion struct {
	Daemon        chicoryhall.DaemonID      `json:"daemon"`
	FailureDomain chicoryhall.FailureDomain `json:"failureDomain"`
	Reachable     bool                      `json:"reachable"`
	Error         string                    `json:"error,omitempty"`
	Number        int64                     `json:"number"`
	Digest        string                    `json:"digest,omitempty"`
}

// Status answers with every daemon's version.
type Status struct {
	Newest  int64           `json:"newest"`
	Daemons []DaemonVersion `json:"daemons"`
}

// Problem is the body of a refusal, as in RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Field names the header or the field of the document at fault.
	Field string `json:"field,omitempty"`
	// Problems are the mistakes of a document.
	Problems strict.Problems `json:"problems,omitempty"`
	// Difference leads from the text that was sent to the newest accepted one.
	Difference string `json:"difference,omitempty"`
	// ETag is of the newest accepted version.
	ETag string `json:"eTag,omitempty"`
}

// Error returns the detail.
func (p *Problem) Error() string { return p.Detail }
