package exchange

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// maxPendingBytes bounds the buffered part of an incomplete event. An event that arrives in one piece may be longer.
const maxPendingBytes = 1 << 20

// EventSplitter splits a stream of server-sent events and tracks their IDs. IDs that are numbers must ascend. An event
// without an ID, or with one that is not a number, has no place in the order: it is passed on unless it is not known
// whether the caller has it already.
type EventSplitter struct {
	// pending is the beginning of an incomplete event.
	pending []byte
	// lastID is the last numeric ID of an event that was passed on, or the ID given to SetLastID before that.
	lastID int64
	// hasLastID is set once lastID is known.
	hasLastID bool
	// resuming is set until the first event with a new ID if the EventSplitter was returned by Resumed.
	resuming bool
	// passed counts the events that were passed on, without comments.
	passed int64
	// hasPassed is set once an event was passed on. isUnplaced is set while the last one of them has no ID.
	hasPassed  bool
	isUnplaced bool
	// hasGaps is set once the ID of an event was not the next number after the one before.
	hasGaps bool
	// hasReached is set once the stream has got to the event after which it was to resume, if it was.
	hasReached bool
}

// SetLastID sets the ID of the last event that the caller already has from an earlier request. An ID that is not a
// number is ignored. The endpoint itself answers a caller that resumes: an event whose ID is not greater than the
// given one is an error then, and the first event after it may have any greater ID. In the EventSplitter that Resumed
// returns it is the other way round: an event that is not greater is dropped, and a gap is an error.
func (s *EventSplitter) SetLastID(id string) {
	number, err := strconv.ParseInt(id, 10, 64)
	if err == nil {
		s.lastID, s.hasLastID = number, true
	}
}

// LastID returns the last numeric ID of an event that was passed on, or the one given to SetLastID before that, or
// an empty string if there is none. A new attempt has to resume after it.
func (s *EventSplitter) LastID() string {
	if !s.hasLastID {
		return ""
	}
	return strconv.FormatInt(s.lastID, 10)
}

// Position returns the number that LastID returns as a text, or 0 if there is none.
func (s *EventSplitter) Position() int64 { return s.lastID }

// Passed returns the number of events that were passed on, without those before Resumed.
func (s *EventSplitter) Passed() int64 { return s.passed }

// Resumed returns an EventSplitter for the stream of a further attempt. Events up to LastID are omitted there, and a gap
// after it is an error, unless the IDs so far had gaps, as is an event without an ID before the first new one.
func (s *EventSplitter) Resumed() *EventSplitter {
	return &EventSplitter{
		lastID: s.lastID, hasLastID: s.hasLastID, resuming: true, hasPassed: s.hasPassed, isUnplaced: s.isUnplaced, hasGaps: s.hasGaps,
		hasReached: !s.hasPassed,
	}
}

// CanResume reports whether a further attempt can continue the stream: it cannot if the last event that was passed on has
// no ID, after which it could be asked to go on.
func (s *EventSplitter) CanResume() bool { return !s.isUnplaced }

// HasContinued reports whether the stream has got to where it was to resume. Otherwise, its end does not show that the caller
// has all events.
func (s *EventSplitter) HasContinued() bool { return !s.resuming || s.hasReached }

// AtBoundary reports whether the bytes so far end with a complete event.
func (s *EventSplitter) AtBoundary() bool { return len(s.pending) == 0 }

// Pending returns the memory in bytes that the beginning of an incomplete event takes.
func (s *EventSplitter) Pending() int { return cap(s.pending) }

// Feed handles the next bytes of the stream and appends the events that are complete now to out.
func (s *EventSplitter) Feed(out, piece []byte) ([]byte, error) {
	data, searched := piece, len(s.pending)
	if searched > 0 {
		s.pending = append(s.pending, piece...)
		data = s.pending
	}
	for {
		end := eventLength(data, searched)
		if end < 0 {
			break
		}
		var err error
		if out, err = s.appendEvent(out, data[:end]); err != nil {
			return out, err
		}
		data, searched = data[end:], 0
	}
	if len(data) > maxPendingBytes {
		return out, errors.Errorf("an incomplete event of the stream is longer than %d bytes", maxPendingBytes)
	}
	s.keep(data)
	return out, nil
}

// keep keeps the beginning of an incomplete event. data may be a part of s.pending.
func (s *EventSplitter) keep(data []byte) {
	switch len(data) {
	case 0:
		s.pending = nil
	case len(s.pending):
	default:
		s.pending = append([]byte(nil), data...)
	}
}

// appendEvent checks the ID of an event and appends the event to out. While it is resuming, it omits events with an ID
// that the caller already has, and it returns an error if the first new one does not follow the last one directly: the
// events between them would be missing. If the IDs have had gaps before, a gap shows nothing. Otherwise an ID that does
// not ascend is an error.
func (s *EventSplitter) appendEvent(out, event []byte) ([]byte, error) {
	id, hasID := eventID(event)
	if !hasID {
		return s.appendUnplaced(out, event)
	}
	if s.hasLastID && id <= s.lastID {
		if s.resuming {
			s.hasReached = s.hasReached || id == s.lastID
			return out, nil
		}
		return out, errors.Errorf("the ID of event %d is not greater than the last one, %d", id, s.lastID)
	}
	isNext := !s.hasLastID || id == s.lastID+1
	if s.resuming && !isNext && !s.hasGaps {
		return out, errors.Errorf("events are missing in the resumed stream: event %d comes after event %d", id, s.lastID)
	}
	s.hasGaps = s.hasGaps || s.hasPassed && !isNext
	s.passed++
	s.lastID, s.hasLastID, s.resuming, s.hasPassed, s.isUnplaced = id, true, false, true, false
	return append(out, event...), nil
}

// appendUnplaced appends an event without an ID to out. While the stream is resuming, comments are omitted, and any other
// event may be one that the caller already has.
func (s *EventSplitter) appendUnplaced(out, event []byte) ([]byte, error) {
	mayBeKnown := s.resuming && s.hasPassed
	switch {
	case isComment(event) && mayBeKnown:
		return out, nil
	case isComment(event):
		return append(out, event...), nil
	case mayBeKnown:
		return out, errors.Errorf("an event without an ID where the stream is to go on after event %s", s.LastID())
	default:
		s.passed++
		s.hasPassed, s.isUnplaced = true, true
		return append(out, event...), nil
	}
}

// isComment reports whether an event consists of comments only.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if line = bytes.TrimSuffix(line, []byte("\r")); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventLength returns the length of the first complete event in data, or -1. An event ends with an empty line. The first bytes of
// data, searched in number, contain none.
func eventLength(data []byte, searched int) int {
	length := -1
	for _, separator := range []string{"\n\n", "\r\n\r\n"} {
		from := max(0, searched-len(separator)+1)
		if at := bytes.Index(data[from:], []byte(separator)); at >= 0 && (length < 0 || from+at+len(separator) < length) {
			length = from + at + len(separator)
		}
	}
	return length
}

var idField = []byte("id:")

// eventID returns the number in the event's id field, or false if there is none.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if !bytes.HasPrefix(line, idField) {
			continue
		}
		number, err := strconv.ParseInt(string(bytes.TrimSpace(line[len(idField):])), 10, 64)
		return number, err == nil
	}
	return 0, false
}
