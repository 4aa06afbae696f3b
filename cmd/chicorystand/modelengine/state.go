package modelengine

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/stage"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/engine"
)

// stateKey names a stream at one place of its route; one engine may hold two places.
type stateKey struct {
	stream chicoryhall.RequestID
	from   int
}

// stageState is what one engine holds of one stream.
type stageState struct {
	key     stateKey
	start   *engine.StreamRequest
	index   int
	hop     chicoryhall.Hop
	model   digest.Model
	arrival uint64
	active  bool
	until   time.Time
	touched time.Time

	// base is the first number of positions whose KV is known; kv holds one row of
	// layers for base, base+1, ... positions.
	base int
	kv   []digest.KV
	// outputs are what the stage's last layer gave, from position 0.
	outputs []digest.Activation

	// inbox are inputs that wait for a step; the first is of position have().
	inbox []digest.Activation
	// importing holds the inputs back until the KV has arrived.
	importing bool

	previous *stage.Conn
	next     *stage.Conn
	// nextReady tells that the next stage said what it has; sent counts the positions it has or got.
	nextReady bool
	sent      int
	// sampled is the last token sent to the first engine; resent tells that it was sent once more.
	sampled *stage.Sampled
	resent  bool
	// blocks are the prefixes that this state has in the cache's index.
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

// have returns the number of positions whose KV is held.
func (s *stageState) have() int { return s.base + len(s.kv)/s.layers() - 1 }

// given returns the number of tokens that the stream began with.
func (s *stageState) given() int { return len(s.start.Prompt) + len(s.start.Delivered) }

func (s *stageState) last() bool { return s.index == len(s.start.Route)-1 }

// reference addresses the stage at another place of the route.
func (s *stageState) reference(index int) stage.Reference {
	return stage.Reference{Stream: s.start.Stream, Attempt: s.start.Attempt, From: s.start.Route[index].From}
}

// adopt takes the KV and outputs of the first positions from another state, if it can.
func (s *stageState) adopt(from *stageState, positions int) bool {
	positions = min(positions, from.have())
	if positions < from.base || from.hop.To != s.hop.To || from.hop.From != s.hop.From || from.model != s.model {
		return false
	}
	end := (positions - from.base + 1) * s.layers()
	s.base = from.base
	s.kv = from.kv[:end:end]
	s.outputs = from.outputs[:positions:positions]
	return true
}

// adoptExport takes the KV and outputs of another engine's export.
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

// run runs the stage's layers for the next position.
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

// export returns the KV after the given number of positions.
func (s *stageState) export(positions int) *engine.KVExport {
	positions = min(positions, s.have())
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
