package exchange

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// Events splits a stream of events and keeps track of their ids.
type Events struct {
	// pending is the beginning of an event whose end has not arrived.
	pending []byte
	// last is the greatest id that was handed out.
	last int64
	// hasLast tells whether any id is known.
	hasLast bool
	// resumed tells that a new run goes on and has not given an event yet.
	resumed bool
}

// After makes the events go on behind the one with the given id, as a caller states it.
func (e *Events) After(id string) {
	number, err := strconv.ParseInt(id, 10, 64)
	if err == nil {
		e.last, e.hasLast = number, true
	}
}

// Last returns the id behind which a new run must go on, or an empty string at the beginning.
func (e *Events) Last() string {
	if !e.hasLast {
		return ""
	}
	return strconv.FormatInt(e.last, 10)
}

// Resume makes the next bytes those of a new run behind the last event; a part of an event that
// the earlier run left behind is dropped.
func (e *Events) Resume() {
	e.pending = nil
	e.resumed = true
}

// IsBetween tells whether no part of an event is waiting for its end.
func (e *Events) IsBetween() bool { return len(e.pending) == 0 }

// Feed takes the next bytes of the stream and appends the whole events among them to out.
func (e *Events) Feed(out, piece []byte) ([]byte, error) {
	data := piece
	if len(e.pending) > 0 {
		data = append(e.pending, piece...)
		e.pending = nil
	}
	for {
		end := endOfEvent(data)
		if end < 0 {
			break
		}
		var err error
		if out, err = e.take(out, data[:end]); err != nil {
			return out, err
		}
		data = data[end:]
	}
	if len(data) > maxEvent {
		return out, errors.Errorf("an event of the stream is longer than %d bytes", maxEvent)
	}
	if len(data) > 0 {
		e.pending = append([]byte(nil), data...)
	}
	return out, nil
}

// take checks the id of one whole event and appends the event to out. An event that an earlier
// run has given already is left out.
func (e *Events) take(out, event []byte) ([]byte, error) {
	id, has := idOf(event)
	if !has {
		return append(out, event...), nil
	}
	if e.hasLast && id <= e.last {
		if e.resumed {
			return out, nil
		}
		return out, errors.Errorf("event %d follows event %d", id, e.last)
	}
	if e.resumed && e.hasLast && id != e.last+1 {
		return out, errors.Errorf("the resumed stream goes on with event %d behind event %d", id, e.last)
	}
	e.last, e.hasLast, e.resumed = id, true, false
	return append(out, event...), nil
}

// endOfEvent returns the length of the first whole event, or -1.
func endOfEvent(data []byte) int {
	end := -1
	for _, separator := range []string{"\n\n", "\r\n\r\n"} {
		if at := bytes.Index(data, []byte(separator)); at >= 0 && (end < 0 || at+len(separator) < end) {
			end = at + len(separator)
		}
	}
	return end
}

var idField = []byte("id:")

// idOf returns the number in the id field of an event.
func idOf(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if !bytes.HasPrefix(line, idField) {
			continue
		}
		number, err := strconv.ParseInt(string(bytes.TrimSpace(line[len(idField):])), 10, 64)
		return number, err == nil
	}
	return 0, false
}
