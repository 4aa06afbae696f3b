package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/stream"
)

const (
	// chunkSizeDigits is the fixed number of hex digits of a chunk's size.
	chunkSizeDigits = 6
	lastChunk       = "0\r\n\r\n"
)

// eventWriter is a chicoryhall.Follower that writes server-sent events.
//
// The tokens may come again from their first position, from another daemon: what the caller has
// must be the beginning of them, or the answer was begun anew and the stream ends with a Problem.
type eventWriter struct {
	x *exchange
	// has is what the caller has; it is confirmed once the tokens were seen to begin with it.
	has       prefix
	confirmed bool
	// tokens are those of the answer so far, written or not.
	tokens []digest.Token
	headed bool
	ended  bool
	buffer []byte
}

// newEventWriter returns an eventWriter for a caller that has the given part of the answer.
func newEventWriter(x *exchange, has prefix) *eventWriter {
	return &eventWriter{x: x, has: has, confirmed: has.tokens == 0}
}

// OnAccepted writes nothing, as the status may still tell of a failure.
func (w *eventWriter) OnAccepted() {}

// OnTokens writes the tokens that the caller does not have.
func (w *eventWriter) OnTokens(position int, tokens []digest.Token) {
	if w.ended {
		return
	}
	if !w.take(position, tokens) || !w.confirm() {
		w.begunAnew()
		return
	}
	if w.confirmed && len(w.tokens) > w.has.tokens {
		w.writeTokens(w.tokens[w.has.tokens:])
	}
}

// take notes the tokens; false means that they differ from tokens that the caller has.
func (w *eventWriter) take(position int, tokens []digest.Token) bool {
	for i, token := range tokens {
		at := position + i
		switch {
		case at >= len(w.tokens):
			w.tokens = append(w.tokens, token)
		case w.tokens[at] == token:
		case at < w.has.tokens && w.confirmed:
			return false
		default:
			w.tokens = append(w.tokens[:at], token)
		}
	}
	return true
}

// confirm compares the beginning of the answer with what the caller has, once it is there.
func (w *eventWriter) confirm() bool {
	if w.confirmed || len(w.tokens) < w.has.tokens {
		return true
	}
	var begins prefix
	for _, token := range w.tokens[:w.has.tokens] {
		begins = begins.with(token)
	}
	w.confirmed = begins == w.has
	return w.confirmed
}

// begunAnew tells that what the caller has is not the beginning of the answer any more.
func (w *eventWriter) begunAnew() {
	w.ended = true
	problem := answerBegunAnew(w.x.id)
	if w.headed {
		w.close(EventError, problem)
		return
	}
	w.x.problem(problem)
}

// writeTokens writes one event for each token in one chunk.
func (w *eventWriter) writeTokens(tokens []digest.Token) {
	buffer := w.begin()
	start := len(buffer)
	buffer = appendChunkSize(buffer)
	for _, token := range tokens {
		w.has = w.has.with(token)
		buffer = append(buffer, "id: "...)
		buffer = w.has.appendID(buffer)
		buffer = append(buffer, "\ndata: {\"token\":"...)
		buffer = strconv.AppendUint(buffer, uint64(token), 10)
		buffer = append(buffer, "}\n\n"...)
	}
	buffer = closeChunk(buffer, start)
	w.buffer = buffer
	w.x.write(buffer)
}

// OnFinish writes the closing event, or a Problem if nothing was written before.
func (w *eventWriter) OnFinish(result chicoryhall.Result) {
	if w.ended {
		return
	}
	w.ended = true
	switch {
	case !w.confirmed && result.Outcome == chicoryhall.OutcomeAnswered:
		w.begunAnew()
	case result.Reason == stream.ReasonReplaced.String():
		w.x.cut()
	case result.Outcome == chicoryhall.OutcomeAnswered:
		w.close(EventEnd, End{Tokens: w.has.tokens})
	case w.headed:
		w.close(EventError, problemOf(w.x.id, result))
	default:
		w.x.problem(problemOf(w.x.id, result))
	}
}

func (w *eventWriter) close(name string, data any) {
	text, err := json.Marshal(data)
	if err != nil {
		w.x.cut()
		return
	}
	buffer := w.begin()
	start := len(buffer)
	buffer = appendChunkSize(buffer)
	buffer = append(buffer, "event: "...)
	buffer = append(buffer, name...)
	buffer = append(buffer, "\ndata: "...)
	buffer = append(buffer, text...)
	buffer = append(buffer, "\n\n"...)
	buffer = closeChunk(buffer, start)
	buffer = append(buffer, lastChunk...)
	w.x.write(buffer)
	w.x.end()
}

// begin returns the empty buffer, with the head before the first event.
func (w *eventWriter) begin() []byte {
	buffer := w.buffer[:0]
	if w.headed {
		return buffer
	}
	w.headed = true
	head := answerHead{status: http.StatusOK, mediaType: MediaTypeEvents, request: w.x.id, last: w.x.last}
	return head.append(buffer, chunkedBody)
}

// appendChunkSize leaves room for the size of a chunk.
func appendChunkSize(buffer []byte) []byte {
	return append(buffer, "000000\r\n"...)
}

// closeChunk fills the size of the chunk that starts at start in.
func closeChunk(buffer []byte, start int) []byte {
	size := len(buffer) - start - chunkSizeDigits - len("\r\n")
	const digits = "0123456789abcdef"
	for i := chunkSizeDigits - 1; i >= 0; i-- {
		buffer[start+i] = digits[size&0xf]
		size >>= 4
	}
	return append(buffer, "\r\n"...)
}
