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

// Message is the content of one frame. The fields present are handled in the order given here.
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

// Reference identifies one attempt of a stream at one hop of its route.
type Reference struct {
	Stream  chicoryhall.RequestID `json:"s"`
	Attempt int                   `json:"a"`
	// From is the first layer of the stage that has to handle the message, or AnyStage.
	From int `json:"f"`
}

// Open starts a stream at the engine of the hop Index of its route.
type Open struct {
	Reference
	// Index is the index of the hop in the route.
	Index int                  `json:"index"`
	Start engine.StreamRequest `json:"start"`
}

// Ready tells the sender of Open how many positions the stage already has, which need not be sent.
type Ready struct {
	Reference
	HeldPositions int `json:"have"`
}

// Step is the input of a stage for one position.
type Step struct {
	Reference
	Position   int               `json:"p"`
	Activation digest.Activation `json:"x"`
}

// SampledToken is the token at a position, where the tokens of the prompt are counted as well.
type SampledToken struct {
	Reference
	Position int          `json:"p"`
	Token    digest.Token `json:"t"`
}

// Failed ends a stream because an engine failed or refused it.
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

// Progress answers a Probe: the engine of the hop Stage of the route has sent its output for the position.
type Progress struct {
	Reference
	Position int `json:"p"`
	Index    int `json:"stage"`
}
