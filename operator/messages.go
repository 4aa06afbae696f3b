package operator

import (
	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/configuration"
	"chicoryhall.example/chicoryhall/strict"
)

// The media types of the API.
const (
	mediaTypeYAML    = "application/yaml"
	mediaTypeJSON    = "application/json"
	mediaTypeProblem = "application/problem+json"
)

// DocumentList is the response to a list request: the newest version of each document of a team.
type DocumentList struct {
	Documents []configuration.VersionRef `json:"documents"`
}

// ApplyResult is the response to an accepted change.
type ApplyResult struct {
	Service chicoryhall.ServiceName `json:"service"`
	Number  int64                   `json:"number"`
	Digest  string                  `json:"digest"`
	// Warnings say what the change takes away from callers and what it risks.
	Warnings []string `json:"warnings,omitempty"`
}

// CheckResult is the response to a check. The text can be applied if Problems contains only warnings.
type CheckResult struct {
	// Number is the number of the version in force, or 0 if there is none.
	Number     int64           `json:"number"`
	Problems   strict.Problems `json:"problems,omitempty"`
	Effects    []string        `json:"effects,omitempty"`
	Difference string          `json:"difference,omitempty"`
}

// HistoryEntry describes one accepted version.
type HistoryEntry struct {
	Number         int64  `json:"number"`
	Digest         string `json:"digest"`
	Author         string `json:"author"`
	AcceptedMillis int64  `json:"acceptedMillis"`
}

// History is the response with all versions of a service, oldest first.
type History struct {
	Versions []HistoryEntry `json:"versions"`
}

// DaemonVersion is the version of the service that one daemon has in force. Number is 0 if it has none.
type DaemonVersion struct {
	Daemon        chicoryhall.DaemonID      `json:"daemon"`
	FailureDomain chicoryhall.FailureDomain `json:"failureDomain"`
	Reachable     bool                      `json:"reachable"`
	Error         string                    `json:"error,omitempty"`
	Number        int64                     `json:"number"`
	Digest        string                    `json:"digest,omitempty"`
}

// Status is the response with the version in force on each daemon.
type Status struct {
	Newest  int64           `json:"newest"`
	Daemons []DaemonVersion `json:"daemons"`
}

// Problem is the response to a refused request, as in RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Field is the name of the header or document field that caused the refusal.
	Field string `json:"field,omitempty"`
	// Problems are the mistakes of a document.
	Problems strict.Problems `json:"problems,omitempty"`
	// Difference is the diff from the text sent to the newest accepted one.
	Difference string `json:"difference,omitempty"`
	// ETag is the ETag of the newest accepted version.
	ETag string `json:"eTag,omitempty"`
}

// Error returns the detail.
func (p *Problem) Error() string { return p.Detail }
