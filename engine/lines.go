package engine

import (
	"bytes"
	"encoding/json"
	"math"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/digest"
)

// maxLine bounds one line of a stream's answer, in bytes.
const maxLine = 64 << 10

// errLongLine tells of a line above maxLine.
var errLongLine = errors.Errorf("an event line is longer than %d bytes", maxLine)

// lineReader cuts a stream's answer into events.
type lineReader struct {
	// rest is the start of a line whose end has not arrived.
	rest []byte
}

// read appends the events of the lines that piece completes to events.
func (r *lineReader) read(events []Event, piece []byte) ([]Event, error) {
	for len(piece) > 0 {
		end := bytes.IndexByte(piece, '\n')
		if end < 0 {
			return events, r.keep(piece)
		}
		line := piece[:end]
		piece = piece[end+1:]
		if len(r.rest) > 0 {
			if err := r.keep(line); err != nil {
				return events, err
			}
			line = r.rest
			r.rest = r.rest[:0]
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

func (r *lineReader) keep(piece []byte) error {
	if len(r.rest)+len(piece) > maxLine {
		return errLongLine
	}
	r.rest = append(r.rest, piece...)
	return nil
}

// DecodeEvent reads one event line; lines of tokens in the form that encoding/json writes
// take a fast path without reflection.
func DecodeEvent(line []byte) (Event, error) {
	if event, ok := scanToken(line); ok {
		return event, nil
	}
	var event Event
	err := json.Unmarshal(line, &event)
	return event, errors.WithMessage(err, "decode event line")
}

// The parts of a token line around its numbers.
const (
	tokenStart    = `{"kind":"token","attempt":`
	tokenPosition = `,"position":`
	tokenToken    = `,"token":`
	tokenEnd      = `}`
)

// scanToken reads a line that consists of the token form alone.
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

// scanner reads literals and numbers from the start of a line.
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

// number reads a decimal number of JSON's form up to limit.
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
