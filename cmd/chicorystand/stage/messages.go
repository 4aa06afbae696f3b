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

// AnyStage as Reference.From means whichever stage of the stream the engine runs.
const AnyStage = -1

// Message is one frame; each field that is present is handled in the order given here.
type Message struct {
	Ping     bool       `json:"ping,omitempty"`
	Pong     bool       `json:"pong,omitempty"`
	Open     *Open      `json:"open,omitempty"`
	Ready    *Ready     `json:"ready,omitempty"`
	Steps    []Step     `json:"steps,omitempty"`
	Tokens   []Sampled  `json:"tokens,omitempty"`
	Failed   *Failed    `json:"failed,omitempty"`
	Cancel   *Reference `json:"cancel,omitempty"`
	Probe    *Probe     `json:"probe,omitempty"`
	Progress *Progress  `json:"progress,omitempty"`
}

// Reference names one attempt of a stream at one place of its route.
type Reference struct {
	Stream  chicoryhall.RequestID `json:"s"`
	Attempt int                   `json:"a"`
	// From is the first layer of the stage that shall handle the message, or AnyStage.
	From int `json:"f"`
}

// Open begins a stream at the engine that stands at Index of its route.
type Open struct {
	Reference
	// Index is the place of the opened engine in the route.
	Index int                  `json:"index"`
	Start engine.StreamRequest `json:"start"`
}

// Ready tells the sender of Open how many positions need not be sent.
type Ready struct {
	Reference
	Have int `json:"have"`
}

// Step is the activation that enters a stage at one position.
type Step struct {
	Reference
	Position   int               `json:"p"`
	Activation digest.Activation `json:"x"`
}

// Sampled is the token at a position, prompt tokens counted.
type Sampled struct {
	Reference
	Position int          `json:"p"`
	Token    digest.Token `json:"t"`
}

// Failed ends a stream because an engine failed or refused.
type Failed struct {
	Reference
	Engine  chicoryhall.EndpointID `json:"engine"`
	Refusal engine.Refusal         `json:"refusal"`
}

// Probe asks how far a position has come.
type Probe struct {
	Reference
	Position int `json:"p"`
}

// Progress answers a Probe: the engine at Stage of the route has passed the position on.
type Progress struct {
	Reference
	Position int `json:"p"`
	Stage    int `json:"stage"`
}
