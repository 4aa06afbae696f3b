package configuration

import "chicoryhall.example/chicoryhall"

// Rumour is sent to a peer to announce a new version.
type Rumour struct {
	Ref VersionRef `json:"mark"`
}

// Comparison sends a daemon's checksum to a peer, which returns its refs if its own checksum differs.
type Comparison struct {
	Checksum uint64 `json:"sum"`
	// Refs holds the sender's refs in a second call, made when the peer lacks some of them; empty in the first.
	Refs []VersionRef `json:"marks,omitempty"`
}

// ComparisonResult is the answer to a Comparison, and to a request for all refs.
type ComparisonResult struct {
	Same bool `json:"same"`
	// Refs holds the answering daemon's refs if the checksums differ.
	Refs []VersionRef `json:"marks,omitempty"`
}

// Fetch asks a peer for its newest version of a service.
type Fetch struct {
	Service chicoryhall.ServiceName `json:"service"`
}

// FetchResult is the answer to a Fetch; Found is false if the peer has no version of the service.
type FetchResult struct {
	Found   bool    `json:"found"`
	Version Version `json:"version"`
}
