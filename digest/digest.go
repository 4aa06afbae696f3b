package digest

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// samplingBits is the number of low bits of a token that the engine may pick.
const samplingBits = 4

const samplingMask = 1<<samplingBits - 1

// Token is one token of a prompt or of an answer.
type Token uint32

// KV is the cached state of one layer: a digest over the inputs of all positions so far.
type KV uint64

// Activation is what one layer hands to the next for one position.
type Activation uint64

// Model names the weights that enter every layer's arithmetic.
type Model uint64

// ModelOf returns the Model of a name and version.
func ModelOf(name, version string) Model {
	return Model(xxhash.Sum64String(name + "@" + version))
}

// Prompt returns the tokens of a prompt text: one per eight bytes.
func Prompt(text string) []Token {
	tokens := make([]Token, 0, len(text)/8+1)
	for start := 0; start < len(text); start += 8 {
		piece := text[start:min(start+8, len(text))]
		tokens = append(tokens, Token(xxhash.Sum64String(piece)))
	}
	return tokens
}

// Embed returns the input of layer 0 for a token.
func Embed(model Model, token Token) Activation {
	return Activation(fold(uint64(model), uint64(token), 0))
}

// Layer runs one layer for one position and returns the updated KV and the output.
func Layer(model Model, layer int, kv KV, in Activation) (KV, Activation) {
	next := KV(fold(uint64(model), uint64(kv), uint64(in)))
	out := Activation(fold(uint64(layer)+1, uint64(next), uint64(in)))
	return next, out
}

// Sample returns the token of the last layer's output with the given free bits.
func Sample(out Activation, free uint32) Token {
	return Token(uint32(out)&^samplingMask | free&samplingMask)
}

// Agrees reports whether a token is one that the last layer's output allows.
func Agrees(out Activation, token Token) bool {
	return Sample(out, uint32(token)) == token
}

func fold(a, b, c uint64) uint64 {
	var buffer [24]byte
	binary.LittleEndian.PutUint64(buffer[0:], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	binary.LittleEndian.PutUint64(buffer[16:], c)
	return xxhash.Sum64(buffer[:])
}
