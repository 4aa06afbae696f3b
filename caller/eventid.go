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
// hash of them.
//
// The hash tells the tokens of different daemons apart: while a failure domain is partitioned, each
// part may run the request and generate tokens of its own.
type answerPrefix struct {
	tokens int
	hash   uint32
}

// extend returns the prefix with one more token.
func (p answerPrefix) extend(token digest.Token) answerPrefix {
	var input [8]byte
	binary.LittleEndian.PutUint32(input[:], p.hash)
	binary.LittleEndian.PutUint32(input[4:], uint32(token))
	return answerPrefix{tokens: p.tokens + 1, hash: uint32(xxhash.Sum64(input[:]))}
}

// appendEventID appends the ID of the event that carries the prefix's last token.
func (p answerPrefix) appendEventID(buffer []byte) []byte {
	buffer = strconv.AppendInt(buffer, int64(p.tokens-1), 10)
	buffer = append(buffer, idSeparator...)
	const digits = "0123456789abcdef"
	for shift := 4 * (digestDigits - 1); shift >= 0; shift -= 4 {
		buffer = append(buffer, digits[p.hash>>shift&0xf])
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
	return answerPrefix{tokens: last + 1, hash: uint32(sum)}, nil
}
