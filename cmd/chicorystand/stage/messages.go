package stage

import (
	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/engine"
)

// Protocol is the name of the protocol in the upgrade of a connection.
const Protocol = "chicorystages"

// Path is the URL path of the upgrade.
const Path = "/v1/stages"

// AnyStage is the value of Reference.From in a message whose sender does not know the receiver's stage, for example the
// refusal of a message for a stream that the sender does not run. It refers to any one of the stages of the stream that
// the receiving engine runs.
const AnyStage = -1

// Message is the content of one frame. A Message with Ping or Pong has no other fields. The fields of any other Message
// are in the order in which the receiver has to handle those that are present. The Handler is responsible for that
// order.
type Message struct {
	Ping     bool           `json:"ping,omitempty"`
	Pong     bool           `json:"pong,omitempty"`
	Open     *Open          `json:"open,omitempty"`
	Ready    *Ready         `json:"ready,omitempty"`
	Steps    []Step         `json:"steps,omitempty"`
	Tokens   []SampledToken `json:"tokens,omitempty"`
	Failed   *Failed        `json:"failed,omitempty"`
	Cancel   *Reference     `json:"cancel,omitempty"`
	Probe    *Probe         `json:"probe,omitempty"`
	Progress *Progress      `json:"progress,omitempty"`
}

// Reference identifies one attempt of a stream at one stage of its route.
type Reference struct {
	Stream  chicoryhall.RequestID `json:"s"`
	Attempt int                   `json:"a"`
	// From is the first layer of the stage that has to handle the message, or AnyStage.
	From int `json:"f"`
}

// Open starts a stream at one hop of its route.
type Open struct {
	Reference
	// Index is the index of that hop in the route.
	Index int                  `json:"index"`
	Start engine.StreamRequest `json:"start"`
}

// Ready answers an Open.
type Ready struct {
	Reference
	// HeldPositions is the number of positions, from the first, whose KV the stage holds: because it has run them, or
	// has imported them or taken them from its cache. Their input need not be sent.
	HeldPositions int `json:"have"`
}

// Step is the input of a stage for one position.
type Step struct {
	Reference
	Position   int               `json:"p"`
	Activation digest.Activation `json:"x"`
}

// SampledToken is a generated token and its position in the stream, counted from the start of the prompt.
type SampledToken struct {
	Reference
	Position int          `json:"p"`
	Token    digest.Token `json:"t"`
}

// Failed ends a stream because the engine of a later hop failed or refused it.
type Failed struct {
	Reference
	// Engine is the engine that failed or refused, which need not be the sender. Refusal is the reason in both cases.
	Engine  chicoryhall.EndpointID `json:"engine"`
	Refusal engine.Refusal         `json:"refusal"`
}

// Probe asks a stage whether it has sent its output for a position. If so, the stage answers with a Progress and probes
// the next one.
type Probe struct {
	Reference
	Position int `json:"p"`
}

// Progress answers a Probe: a stage has sent its output for the position. It is passed back along the route. Each
// engine replaces the Reference by that of the stage that receives it next.
type Progress struct {
	Reference
	Position int `json:"p"`
	// Index is the index in the route of the stage that has sent its output.
	Index int `json:"stage"`
}
