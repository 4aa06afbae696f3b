package digest

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// samplingBits is the number of low bits of a token that the engine may choose freely.
const samplingBits = 4

const samplingMask = 1<<samplingBits - 1

// Token is one token of a prompt or of an answer.
type Token uint32

// KV is the cached state of one layer: a hash over its inputs at all positions up to the current one.
type KV uint64

// Activation is the input or the output of a layer for one position.
type Activation uint64

// Model is a hash of a model's name and version. It takes the place of the model's weights.
type Model uint64

// ModelOf returns the Model for a name and a version.
func ModelOf(name, version string) Model {
	return Model(xxhash.Sum64String(name + "@" + version))
}

// Tokenize converts the text of a prompt to tokens, one for each eight bytes and one for the rest.
func Tokenize(text string) []Token {
	tokens := make([]Token, 0, len(text)/8+1)
	for start := 0; start < len(text); start += 8 {
		piece := text[start:min(start+8, len(text))]
		tokens = append(tokens, Token(xxhash.Sum64String(piece)))
	}
	return tokens
}

// Embed converts a token to the input of layer 0.
func Embed(model Model, token Token) Activation {
	return Activation(hash(uint64(model), uint64(token), 0))
}

// Layer computes one layer for one position and returns its updated KV state and its output.
func Layer(model Model, layer int, kv KV, in Activation) (KV, Activation) {
	next := KV(hash(uint64(model), uint64(kv), uint64(in)))
	out := Activation(hash(uint64(layer)+1, uint64(next), uint64(in)))
	return next, out
}

// Sample returns a token for the output of the last layer. The lowest bits of the token, of which there are samplingBits,
// are taken from choice, and all others from the output.
func Sample(out Activation, choice uint32) Token {
	return Token(uint32(out)&^samplingMask | choice&samplingMask)
}

// Allows reports whether Sample can return the token for the output of the last layer, with some choice.
func Allows(out Activation, token Token) bool {
	return Sample(out, uint32(token)) == token
}

func hash(a, b, c uint64) uint64 {
	var buffer [24]byte
	binary.LittleEndian.PutUint64(buffer[0:], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	binary.LittleEndian.PutUint64(buffer[16:], c)
	return xxhash.Sum64(buffer[:])
}
