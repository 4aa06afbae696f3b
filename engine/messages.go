package engine

import (
	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
)

//go:generate go tool enumer -type=EventKind -json -text -transform=kebab -trimprefix=Event -output=eventkind_enumer.go
//go:generate go tool enumer -type=Refusal -json -text -transform=kebab -trimprefix=Refusal -linecomment -output=refusal_enumer.go

// StreamRequest starts an attempt of a request at the first engine of its route. A stream is the
// series of all attempts of a request; its ID is that of the request.
type StreamRequest struct {
	Stream  chicoryhall.RequestID `json:"stream"`
	Attempt int                   `json:"attempt"`
	Model   string                `json:"model"`
	Version string                `json:"version"`
	Prompt  []digest.Token        `json:"prompt"`
	// Tokens are the tokens of the answer so far; the attempt continues after them.
	Tokens []digest.Token `json:"delivered,omitempty"`
	// MaxTokens is the number of tokens of the complete answer, including Tokens.
	MaxTokens int               `json:"maxTokens"`
	Priority  int               `json:"priority"`
	Route     []chicoryhall.Hop `json:"route"`
	// TimeoutMillis is the time until the caller's deadline.
	TimeoutMillis int64  `json:"timeoutMillis"`
	TraceParent   string `json:"traceParent,omitempty"`
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events of an attempt.
const (
	// EventToken carries one token and its position.
	EventToken EventKind = iota
	// EventDone ends a complete answer; its position is the number of tokens.
	EventDone
	// EventRefused ends an attempt that the engine refused to start.
	EventRefused
	// EventStageFailed ends an attempt because another engine of the route failed or refused.
	EventStageFailed
	// EventWaiting reports that the first engine has been waiting for Engine for WaitedMillis.
	EventWaiting
	// EventPrefilled reports that all stages have built their KV.
	EventPrefilled
)

// Refusal is the reason why an engine did not do what it was asked to do.
type Refusal int

// The reasons of a refusal.
const (
	// RefusalNone means that nothing was refused.
	RefusalNone Refusal = iota
	// RefusalNotLoaded means that the engine has not loaded the layers or the version.
	RefusalNotLoaded // not-held
	// RefusalWrongPosition means that the KV does not cover exactly the earlier positions.
	RefusalWrongPosition // position
	// RefusalOldAttempt means that the engine knows a later attempt of the stream, or that the
	// attempt was cancelled.
	RefusalOldAttempt // attempt
	// RefusalFull means that the engine's queue or KV memory is full.
	RefusalFull
	// RefusalLeaving means that the engine is leaving and takes no new work.
	RefusalLeaving
	// RefusalUnreachable means that the engine lost or could not open the connection to the next
	// stage.
	RefusalUnreachable
	// RefusalOutdatedFence means that an order carried an outdated fencing number.
	RefusalOutdatedFence // fenced
	// RefusalMalformed means that the message could not be decoded.
	RefusalMalformed
)

// Event is one line of the answer to a StreamRequest.
type Event struct {
	Kind     EventKind    `json:"kind"`
	Attempt  int          `json:"attempt"`
	Position int          `json:"position"`
	Token    digest.Token `json:"token"`
	// Engine is the engine that failed, refused or is waited for.
	Engine       chicoryhall.EndpointID `json:"engine,omitempty"`
	Refusal      Refusal                `json:"refusal,omitempty"`
	WaitedMillis int64                  `json:"waitedMillis,omitempty"`
}

// CacheEvent reports that the engine's cache stored a prompt prefix, or, if Stored is false,
// evicted it. Prefix is one of the hashes that PrefixHashes returns.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Stored   bool   `json:"stored"`
}

// CacheEvents is the answer to a poll for events after a sequence number. First is the sequence
// number of the first of Events or, if there are none, the polled number plus one. If First is
// greater than the polled number plus one, the engine does not have the events before First any
// more.
type CacheEvents struct {
	First  int64        `json:"first"`
	Events []CacheEvent `json:"events"`
}

// Order tells an engine the complete state that it must reach: the layers to load and whether to
// leave. The engine refuses it if it has seen a higher fencing number than Fence (see package
// chicoryhall).
type Order struct {
	Fence   int64                    `json:"fence"`
	Layers  []chicoryhall.LayerRange `json:"holdings"`
	Leaving bool                     `json:"leaving"`
}

// OrderResult is the answer to an Order. Fence is the highest fencing number that the engine has
// seen.
type OrderResult struct {
	Refusal Refusal `json:"refusal"`
	Fence   int64   `json:"fence"`
}

// KVExport is the KV of one stream for the layers [From,To) at one engine.
type KVExport struct {
	From      int         `json:"from"`
	To        int         `json:"to"`
	Positions int         `json:"positions"`
	Layers    []digest.KV `json:"layers"`
	// Outputs are the outputs of the last layer of the range, one for each position.
	Outputs []digest.Activation `json:"outputs"`
	// Padding is for simulated engines: Layers and Outputs are digests, and Padding gives the message
	// the size that a real export has.
	Padding string `json:"padding,omitempty"`
}

// Call is a request to a plain service.
type Call struct {
	Request       chicoryhall.RequestID `json:"request"`
	Operation     string                `json:"operation"`
	Body          string                `json:"body"`
	Idempotent    bool                  `json:"idempotent"`
	TimeoutMillis int64                 `json:"timeoutMillis"`
	TraceParent   string                `json:"traceParent,omitempty"`
}

// CallResult is the answer to a Call. If Started is false, the service did not run the call.
type CallResult struct {
	Request chicoryhall.RequestID `json:"request"`
	Started bool                  `json:"started"`
	Refusal Refusal               `json:"refusal"`
	Body    string                `json:"body"`
}
