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
func (r *lineDecoder) decode(events []Event, piece []byte) ([]Event, error) {
	for len(piece) > 0 {
		end := bytes.IndexByte(piece, '\n')
		if end < 0 {
			return events, r.buffer(piece)
		}
		line := piece[:end]
		piece = piece[end+1:]
		if len(r.partialLine) > 0 {
			if err := r.buffer(line); err != nil {
				return events, err
			}
			line = r.partialLine
			r.partialLine = r.partialLine[:0]
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

func (r *lineDecoder) buffer(piece []byte) error {
	if len(r.partialLine)+len(piece) > maxLineBytes {
		return errLongLine
	}
	r.partialLine = append(r.partialLine, piece...)
	return nil
}

// DecodeEvent decodes one line. A line with a token, in the form that encoding/json writes, takes a
// faster path without reflection.
func DecodeEvent(line []byte) (Event, error) {
	if event, ok := scanToken(line); ok {
		return event, nil
	}
	var event Event
	err := json.Unmarshal(line, &event)
	return event, errors.WithMessage(err, "decode event line")
}

// The parts of a line with a token around its numbers.
const (
	tokenStart    = `{"kind":"token","attempt":`
	tokenPosition = `,"position":`
	tokenToken    = `,"token":`
	tokenEnd      = `}`
)

// scanToken decodes a line with a token; it returns false if the line has any other form.
func scanToken(line []byte) (Event, bool) {
	s := scanner{rest: line}
	s.literal(tokenStart)
	attempt := s.number(math.MaxInt32)
	s.literal(tokenPosition)
	position := s.number(math.MaxInt32)
	s.literal(tokenToken)
	token := s.number(math.MaxUint32)
	s.literal(tokenEnd)
	if s.failed || len(s.rest) != 0 {
		return Event{}, false
	}
	return Event{Kind: EventToken, Attempt: int(attempt), Position: int(position), Token: digest.Token(token)}, true
}

// scanner consumes literals and numbers from the start of a line.
type scanner struct {
	rest   []byte
	failed bool
}

func (s *scanner) literal(text string) {
	if len(s.rest) < len(text) || string(s.rest[:len(text)]) != text {
		s.failed = true
		return
	}
	s.rest = s.rest[len(text):]
}

// number consumes a decimal number, in JSON's form and not above limit.
func (s *scanner) number(limit uint64) uint64 {
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
