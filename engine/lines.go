package engine

import (
	"bytes"
	"encoding/json"
	"math"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/digest"
)

// maxLineBytes limits one line of a stream's answer.
const maxLineBytes = 64 << 10

// errLongLine means that a line is longer than maxLineBytes.
var errLongLine = errors.Errorf("an event line is longer than %d bytes", maxLineBytes)

// lineDecoder splits a stream's answer into lines and decodes the events in them.
type lineDecoder struct {
	// partialLine is the beginning of a line whose end has not arrived yet.
	partialLine []byte
}

// decode decodes the lines that piece completes and appends their events to events.
func (d *lineDecoder) decode(events []Event, piece []byte) ([]Event, error) {
	for len(piece) > 0 {
		end := bytes.IndexByte(piece, '\n')
		if end < 0 {
			return events, d.buffer(piece)
		}
		line := piece[:end]
		piece = piece[end+1:]
		if len(d.partialLine) > 0 {
			if err := d.buffer(line); err != nil {
				return events, err
			}
			line = d.partialLine
			d.partialLine = d.partialLine[:0]
		}
		if len(line) == 0 {
			continue
		}
		event, err := DecodeEvent(line)
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
	return events, nil
}

func (d *lineDecoder) buffer(piece []byte) error {
	if len(d.partialLine)+len(piece) > maxLineBytes {
		return errLongLine
	}
	d.partialLine = append(d.partialLine, piece...)
	return nil
}

// DecodeEvent decodes one line. A line with a token, in the form that encoding/json writes, takes a
// faster path without reflection.
func DecodeEvent(line []byte) (Event, error) {
	if event, ok := parseTokenLine(line); ok {
		return event, nil
	}
	var event Event
	err := json.Unmarshal(line, &event)
	return event, errors.WithMessage(err, "decode event line")
}

// A line with a token consists of these texts, with a number after each but the last.
const (
	tokenLineStart = `{"kind":"token","attempt":`
	positionKey    = `,"position":`
	tokenKey       = `,"token":`
	tokenLineEnd   = `}`
)

// parseTokenLine decodes a line with a token; it returns false if the line has any other form.
func parseTokenLine(line []byte) (Event, bool) {
	s := lineScanner{rest: line}
	s.literal(tokenLineStart)
	attempt := s.number(math.MaxInt32)
	s.literal(positionKey)
	position := s.number(math.MaxInt32)
	s.literal(tokenKey)
	token := s.number(math.MaxUint32)
	s.literal(tokenLineEnd)
	if s.failed || len(s.rest) != 0 {
		return Event{}, false
	}
	return Event{Kind: EventToken, Attempt: int(attempt), Position: int(position), Token: digest.Token(token)}, true
}

// lineScanner consumes literals and numbers from the start of a line.
type lineScanner struct {
	rest   []byte
	failed bool
}

func (s *lineScanner) literal(text string) {
	if len(s.rest) < len(text) || string(s.rest[:len(text)]) != text {
		s.failed = true
		return
	}
	s.rest = s.rest[len(text):]
}

// number consumes a decimal number, in JSON's form and not above limit.
func (s *lineScanner) number(limit uint64) uint64 {
	var value uint64
	digits := 0
	for digits < len(s.rest) && s.rest[digits] >= '0' && s.rest[digits] <= '9' {
		value = value*10 + uint64(s.rest[digits]-'0')
		digits++
		if value > limit {
			s.failed = true
			return 0
		}
	}
	if digits == 0 || (digits > 1 && s.rest[0] == '0') {
		s.failed = true
		return 0
	}
	s.rest = s.rest[digits:]
	return value
}
