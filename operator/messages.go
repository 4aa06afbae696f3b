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
	// Warnings are the same as CheckResult.Effects.
	Warnings []string `json:"warnings,omitempty"`
}

// CheckResult is the response to a check. The text can be applied if Problems contains only warnings.
type CheckResult struct {
	// Number is the number of the newest version, or 0 if there is none.
	Number   int64           `json:"number"`
	Problems strict.Problems `json:"problems,omitempty"`
	// Effects are the warnings of document.Effects, and warnings about organisations above their new limit.
	Effects []string `json:"effects,omitempty"`
	// Difference is the diff from the newest version to the checked text: lines of the text are marked with "+".
	Difference string `json:"difference,omitempty"`
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
	// Error says why the daemon could not be reached.
	Error  string `json:"error,omitempty"`
	Number int64  `json:"number"`
	Digest string `json:"digest,omitempty"`
}

// Status is the response with the version in force on each daemon.
type Status struct {
	// Newest is the highest version number on any daemon.
	Newest  int64           `json:"newest"`
	Daemons []DaemonVersion `json:"daemons"`
}

// Problem is the response to a refused request, as in RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Field names what caused the refusal: a header, a field of the document, "body", or a part of the path.
	Field string `json:"field,omitempty"`
	// Problems are the mistakes in a document, and its warnings.
	Problems strict.Problems `json:"problems,omitempty"`
	// Difference is, for a conflict, the diff from the operator's text to the newest version: lines of the text are marked
	// with "-".
	Difference string `json:"difference,omitempty"`
	// ETag is the ETag of the newest accepted version.
	ETag string `json:"eTag,omitempty"`
}

// Error returns the detail.
func (p *Problem) Error() string { return p.Detail }
