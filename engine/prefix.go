package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall/digest"
)

// PrefixBlockTokens is the number of tokens by which a cached prefix grows.
const PrefixBlockTokens = 16

// PrefillSpeedup is the number of positions that prefill builds in the time of one generated token.
const PrefillSpeedup = 16

// tokenBytes is the size of a token inside a prefix's hash.
const tokenBytes = 4

// PrefixHashes returns the names that engines give to the prefixes of tokens: one per whole
// PrefixBlock, each over all tokens up to its end.
func PrefixHashes(model digest.Model, tokens []digest.Token) []uint64 {
	names := make([]uint64, 0, len(tokens)/PrefixBlockTokens)
	var buffer [8 + PrefixBlockTokens*tokenBytes]byte
	name := uint64(model)
	for end := PrefixBlockTokens; end <= len(tokens); end += PrefixBlockTokens {
		binary.LittleEndian.PutUint64(buffer[:], name)
		for i, token := range tokens[end-PrefixBlockTokens : end] {
			binary.LittleEndian.PutUint32(buffer[8+i*tokenBytes:], uint32(token))
		}
		name = xxhash.Sum64(buffer[:])
		names = append(names, name)
	}
	return names
}
