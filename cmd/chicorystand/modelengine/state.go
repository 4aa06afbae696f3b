package modelengine

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/stage"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/engine"
)

// stateKey identifies a stream and the first layer of a hop, as one engine may run two hops of a stream.
type stateKey struct {
	stream chicoryhall.RequestID
	from   int
}

// stageState is the state of one stream at one hop of its route.
type stageState struct {
	key       stateKey
	start     *engine.StreamRequest
	index     int
	hop       chicoryhall.Hop
	model     digest.Model
	sequence  uint64
	active    bool
	expiresAt time.Time
	lastUsed  time.Time

	// kv holds, one after another, the KV of all layers of the stage after base positions, after base+1 positions and
	// so on. An import brings only the KV after the last imported position, so base is the number of imported
	// positions. It is 0 if this state, or the state whose KV it adopted, was not imported.
	base int
	kv   []digest.KV
	// outputs are the outputs of the stage's last layer, starting at position 0.
	outputs []digest.Activation

	// inputs wait for a step. The first one belongs to position heldPositions().
	inputs []digest.Activation
	// importing is set while the KV is being imported. Until then no inputs are run.
	importing bool

	previous *stage.Conn
	next     *stage.Conn
	// nextReady is set once the next stage has reported how many positions it holds. sent is that number, increased by
	// the positions sent since. The last stage has no next stage. There, sent is the number of positions whose
	// following token is known, because it was given at the start of the stream or has been sampled.
	nextReady bool
	sent      int
	// sampled is the last token sent to the first engine. resent is set if it was sent a second time.
	sampled *stage.SampledToken
	resent  bool
	// blocks are the prefixes for which this state was added to the cache's index.
	blocks []uint64
	record *run
}

func newState(start *engine.StreamRequest, index int) *stageState {
	hop := start.Route[index]
	return &stageState{
		key:   stateKey{stream: start.Stream, from: hop.From},
		start: start,
		index: index,
		hop:   hop,
		model: digest.ModelOf(start.Model, start.Version),
		kv:    make([]digest.KV, hop.To-hop.From),
	}
}

func (s *stageState) layers() int { return s.hop.To - s.hop.From }

// heldPositions returns the number of positions whose KV is held.
func (s *stageState) heldPositions() int { return s.base + len(s.kv)/s.layers() - 1 }

// givenTokens returns the number of tokens that the stream started with: the prompt and the tokens already delivered. A
// state starts with the KV of at most givenTokens()-1 positions, as the last stage samples the next token from the
// output for the last given token, so that token is always run.
func (s *stageState) givenTokens() int { return len(s.start.Prompt) + len(s.start.Tokens) }

func (s *stageState) isLast() bool { return s.index == len(s.start.Route)-1 }

// reference returns the Reference for messages to the stream's stage at another hop of the route.
func (s *stageState) reference(index int) stage.Reference {
	return stage.Reference{Stream: s.start.Stream, Attempt: s.start.Attempt, From: s.start.Route[index].From}
}

// adopt takes over the KV and outputs of up to the given number of positions from another state. It returns false and
// changes nothing if the other state is of other layers or another model, or does not hold the KV.
func (s *stageState) adopt(from *stageState, positions int) bool {
	positions = min(positions, from.heldPositions())
	if positions < from.base || from.hop.To != s.hop.To || from.hop.From != s.hop.From || from.model != s.model {
		return false
	}
	end := (positions - from.base + 1) * s.layers()
	s.base = from.base
	s.kv = from.kv[:end:end]
	s.outputs = from.outputs[:positions:positions]
	return true
}

// adoptExport takes over the KV and outputs exported by another engine. It returns false and changes nothing if they
// are of other layers or of too many positions.
func (s *stageState) adoptExport(export *engine.KVExport, positions int) bool {
	usable := export.From == s.hop.From && export.To == s.hop.To && export.Positions <= positions &&
		len(export.Layers) == s.layers() && len(export.Outputs) == export.Positions
	if !usable {
		return false
	}
	s.base = export.Positions
	s.kv = export.Layers
	s.outputs = export.Outputs
	return true
}

// run computes the stage's layers for the next position and returns the output.
func (s *stageState) run(in digest.Activation) digest.Activation {
	begin := len(s.kv) - s.layers()
	out := in
	for layer := s.hop.From; layer < s.hop.To; layer++ {
		var kv digest.KV
		kv, out = digest.Layer(s.model, layer, s.kv[begin+layer-s.hop.From], out)
		s.kv = append(s.kv, kv)
	}
	s.outputs = append(s.outputs, out)
	return out
}

// export returns the KV after the given number of positions, or nil if it is not held.
func (s *stageState) export(positions int) *engine.KVExport {
	positions = min(positions, s.heldPositions())
	if positions < s.base {
		return nil
	}
	begin := (positions - s.base) * s.layers()
	return &engine.KVExport{
		From:      s.hop.From,
		To:        s.hop.To,
		Positions: positions,
		Layers:    s.kv[begin : begin+s.layers()],
		Outputs:   s.outputs[:positions],
	}
}
