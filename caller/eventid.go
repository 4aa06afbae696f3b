package caller

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall/digest"
)

// The form of an event's id: the position, a separator and the digest in hex.
const (
	idSeparator = "-"
	idDigits    = 8
)

// prefix is what a caller has of an answer: the number of its tokens and a digest over them.
//
// The digest tells an answer from one that another daemon began anew, as each half of a failure
// domain may do while the two are cut off from each other.
type prefix struct {
	tokens int
	digest uint32
}

// with returns the prefix with one more token.
func (p prefix) with(token digest.Token) prefix {
	var folded [8]byte
	binary.LittleEndian.PutUint32(folded[:], p.digest)
	binary.LittleEndian.PutUint32(folded[4:], uint32(token))
	return prefix{tokens: p.tokens + 1, digest: uint32(xxhash.Sum64(folded[:]))}
}

// appendID writes the id of the event with the prefix's last token.
func (p prefix) appendID(buffer []byte) []byte {
	buffer = strconv.AppendInt(buffer, int64(p.tokens-1), 10)
	buffer = append(buffer, idSeparator...)
	const digits = "0123456789abcdef"
	for shift := 4 * (idDigits - 1); shift >= 0; shift -= 4 {
		buffer = append(buffer, digits[p.digest>>shift&0xf])
	}
	return buffer
}

// parseID reads the id of the last event that a caller has.
func parseID(text string) (prefix, error) {
	position, hex, found := strings.Cut(text, idSeparator)
	last, err := strconv.Atoi(position)
	if err != nil || !found || last < 0 || last >= maxTokens || len(hex) != idDigits {
		return prefix{}, fmt.Errorf("%q is not the id of an event", text)
	}
	sum, err := strconv.ParseUint(hex, 16, 32)
	if err != nil {
		return prefix{}, fmt.Errorf("%q is not the id of an event", text)
	}
	return prefix{tokens: last + 1, digest: uint32(sum)}, nil
}
