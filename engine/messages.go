package engine

import (
	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
)

//go:generate go tool enumer -type=EventKind -json -text -transform=kebab -trimprefix=Event -output=eventkind_enumer.go
//go:generate go tool enumer -type=Refusal -json -text -transform=kebab -trimprefix=Refusal -linecomment -output=refusal_enumer.go

// StreamRequest opens a stream at the first engine of its route.
type StreamRequest struct {
	Stream  chicoryhall.RequestID `json:"stream"`
	Attempt int                   `json:"attempt"`
	Model   string                `json:"model"`
	Version string                `json:"version"`
	Prompt  []digest.Token        `json:"prompt"`
	// Delivered are the answer's tokens so far; the stream goes on behind them.
	Delivered []digest.Token `json:"delivered,omitempty"`
	// MaxTokens is the length of the whole answer, delivered tokens included.
	MaxTokens int               `json:"maxTokens"`
	Priority  int               `json:"priority"`
	Route     []chicoryhall.Hop `json:"route"`
	// TimeoutMillis is the time left to the caller's deadline.
	TimeoutMillis int64  `json:"timeoutMillis"`
	TraceParent   string `json:"traceParent,omitempty"`
}

// EventKind tells what an Event reports.
type EventKind int

// The kinds of events on a stream.
const (
	// EventToken carries one token at a position.
	EventToken EventKind = iota
	// EventDone ends a whole answer.
	EventDone
	// EventRefused ends a stream that the engine did not start.
	EventRefused
	// EventStageFailed ends a stream because another engine of the route failed or refused.
	EventStageFailed
	// EventWaiting tells that the engine has waited for another engine since WaitedMillis.
	EventWaiting
	// EventPrefilled tells that every stage has built its KV.
	EventPrefilled
)

// Refusal is the reason for which an engine did not do what it was asked.
type Refusal int

// The reasons of a refusal.
const (
	// RefusalNone means that nothing was refused.
	RefusalNone Refusal = iota
	// RefusalNotLoaded means that the engine does not hold the layers or the version.
	RefusalNotLoaded // not-held
	// RefusalWrongPosition means that the KV does not hold exactly the earlier positions.
	RefusalWrongPosition // position
	// RefusalOldAttempt means that a newer attempt of the stream is known.
	RefusalOldAttempt // attempt
	// RefusalFull means that the engine's queue or KV memory is full.
	RefusalFull
	// RefusalLeaving means that the engine takes no new work.
	RefusalLeaving
	// RefusalUnreachable means that the engine could not reach the next stage.
	RefusalUnreachable
	// RefusalOutdatedFence means that an order carried an old fencing number.
	RefusalOutdatedFence // fenced
	// RefusalMalformed means that the message was not understood.
	RefusalMalformed
)

// Event is one line of a stream's answer.
type Event struct {
	Kind     EventKind    `json:"kind"`
	Attempt  int          `json:"attempt"`
	Position int          `json:"position"`
	Token    digest.Token `json:"token"`
	// Engine is the stage that failed, refused or is waited for.
	Engine       chicoryhall.EndpointID `json:"engine,omitempty"`
	Refusal      Refusal                `json:"refusal,omitempty"`
	WaitedMillis int64                  `json:"waitedMillis,omitempty"`
}

// CacheEvent tells that a prompt prefix was stored or evicted.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Stored   bool   `json:"stored"`
}

// CacheEvents answers a poll; First greater than after+1 shows a gap.
type CacheEvents struct {
	First  int64        `json:"first"`
	Events []CacheEvent `json:"events"`
}

// Order gives an engine the absolute state that it shall reach.
type Order struct {
	Fence   int64                    `json:"fence"`
	Layers  []chicoryhall.LayerRange `json:"holdings"`
	Leaving bool                     `json:"leaving"`
}

// OrderResult answers an Order.
type OrderResult struct {
	Refusal Refusal `json:"refusal"`
	Fence   int64   `json:"fence"`
}

// KVExport is the KV of one stream at one engine.
type KVExport struct {
	From      int         `json:"from"`
	To        int         `json:"to"`
	Positions int         `json:"positions"`
	Layers    []digest.KV `json:"layers"`
	// Outputs are what the last layer of the range gave at each position.
	Outputs []digest.Activation `json:"outputs"`
	// Padding stands for the bytes of a real export.
	Padding string `json:"padding,omitempty"`
}

// Call is one request to a plain service.
type Call struct {
	Request       chicoryhall.RequestID `json:"request"`
	Operation     string                `json:"operation"`
	Body          string                `json:"body"`
	Idempotent    bool                  `json:"idempotent"`
	TimeoutMillis int64                 `json:"timeoutMillis"`
	TraceParent   string                `json:"traceParent,omitempty"`
}

// CallResult answers a Call; Started false means that the service did not run it.
type CallResult struct {
	Request chicoryhall.RequestID `json:"request"`
	Started bool                  `json:"started"`
	Refusal Refusal               `json:"refusal"`
	Body    string                `json:"body"`
}
