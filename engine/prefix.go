package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall/digest"
)

// PrefixBlockTokens is the number of tokens in a block. Engines cache prefixes of whole blocks.
const PrefixBlockTokens = 16

// PrefillSpeedup is the number of positions whose KV is built in the time of one generated token.
const PrefillSpeedup = 16

// tokenBytes is the size of a token in the input of the hash.
const tokenBytes = 4

// PrefixHashes returns a hash for each prefix of whole blocks. Each hash covers the model, the hash
// of the previous prefix and the tokens of the last block.
func PrefixHashes(model digest.Model, tokens []digest.Token) []uint64 {
	hashes := make([]uint64, 0, len(tokens)/PrefixBlockTokens)
	var buffer [8 + PrefixBlockTokens*tokenBytes]byte
	hash := uint64(model)
	for end := PrefixBlockTokens; end <= len(tokens); end += PrefixBlockTokens {
		binary.LittleEndian.PutUint64(buffer[:], hash)
		for i, token := range tokens[end-PrefixBlockTokens : end] {
			binary.LittleEndian.PutUint32(buffer[8+i*tokenBytes:], uint32(token))
		}
		hash = xxhash.Sum64(buffer[:])
		hashes = append(hashes, hash)
	}
	return hashes
}
