package caller

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall/digest"
)

// The form of an event's ID: the position, a separator and the digest in hex.
const (
	idSeparator  = "-"
	digestDigits = 8
)

// answerPrefix identifies the part of an answer that a caller has, by its number of tokens and a
// digest of them.
//
// The digest is needed because another daemon may have started the answer again with other tokens.
// While a failure domain is partitioned, each half may do so.
type answerPrefix struct {
	tokens int
	digest uint32
}

// extend returns the prefix with one more token.
func (p answerPrefix) extend(token digest.Token) answerPrefix {
	var folded [8]byte
	binary.LittleEndian.PutUint32(folded[:], p.digest)
	binary.LittleEndian.PutUint32(folded[4:], uint32(token))
	return answerPrefix{tokens: p.tokens + 1, digest: uint32(xxhash.Sum64(folded[:]))}
}

// appendEventID appends the ID of the event with the prefix's last token.
func (p answerPrefix) appendEventID(buffer []byte) []byte {
	buffer = strconv.AppendInt(buffer, int64(p.tokens-1), 10)
	buffer = append(buffer, idSeparator...)
	const digits = "0123456789abcdef"
	for shift := 4 * (digestDigits - 1); shift >= 0; shift -= 4 {
		buffer = append(buffer, digits[p.digest>>shift&0xf])
	}
	return buffer
}

// parseEventID parses the ID of the last event that a caller has.
func parseEventID(text string) (answerPrefix, error) {
	position, hex, found := strings.Cut(text, idSeparator)
	last, err := strconv.Atoi(position)
	if err != nil || !found || last < 0 || last >= maxTokens || len(hex) != digestDigits {
		return answerPrefix{}, fmt.Errorf("%q is not the id of an event", text)
	}
	sum, err := strconv.ParseUint(hex, 16, 32)
	if err != nil {
		return answerPrefix{}, fmt.Errorf("%q is not the id of an event", text)
	}
	return answerPrefix{tokens: last + 1, digest: uint32(sum)}, nil
}
