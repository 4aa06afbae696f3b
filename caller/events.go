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
	// chunkSizeDigits is the fixed number of hex digits in the size of a chunk.
	chunkSizeDigits = 6
	lastChunk       = "0\r\n\r\n"
)

// eventWriter is a chicoryhall.Follower that writes server-sent events.
//
// Another daemon that takes over the request repeats the tokens from the first position. They must
// begin with the tokens that the caller has; otherwise the answer was started again, and the stream
// ends with a Problem.
type eventWriter struct {
	x *exchange
	// callerHas is the part of the answer that the caller has. confirmed means that the answer is
	// known to begin with it.
	callerHas answerPrefix
	confirmed bool
	// tokens is the answer so far, whether or not it has been written.
	tokens      []digest.Token
	headWritten bool
	ended       bool
	buffer      []byte
}

// newEventWriter returns an eventWriter for a caller that has the given part of the answer.
func newEventWriter(x *exchange, has answerPrefix) *eventWriter {
	return &eventWriter{x: x, callerHas: has, confirmed: has.tokens == 0}
}

// OnAccepted writes nothing, because the status code may still have to report a failure.
func (w *eventWriter) OnAccepted() {}

// OnTokens writes the tokens that the caller does not have.
func (w *eventWriter) OnTokens(position int, tokens []digest.Token) {
	if w.ended {
		return
	}
	if !w.addTokens(position, tokens) || !w.checkPrefix() {
		w.endAsRestarted()
		return
	}
	if w.confirmed && len(w.tokens) > w.callerHas.tokens {
		w.writeTokens(w.tokens[w.callerHas.tokens:])
	}
}

// addTokens adds tokens to the answer. Repeated tokens may differ from earlier ones, and replace
// them, unless the caller is known to have the earlier ones; then it returns false.
func (w *eventWriter) addTokens(position int, tokens []digest.Token) bool {
	for i, token := range tokens {
		at := position + i
		switch {
		case at >= len(w.tokens):
			w.tokens = append(w.tokens, token)
		case w.tokens[at] == token:
		case at < w.callerHas.tokens && w.confirmed:
			return false
		default:
			w.tokens = append(w.tokens[:at], token)
		}
	}
	return true
}

// checkPrefix checks, as soon as there are enough tokens, that the answer begins with what the
// caller has.
func (w *eventWriter) checkPrefix() bool {
	if w.confirmed || len(w.tokens) < w.callerHas.tokens {
		return true
	}
	var begin answerPrefix
	for _, token := range w.tokens[:w.callerHas.tokens] {
		begin = begin.extend(token)
	}
	w.confirmed = begin == w.callerHas
	return w.confirmed
}

// endAsRestarted ends the stream because another daemon started the answer again with other tokens.
func (w *eventWriter) endAsRestarted() {
	w.ended = true
	problem := restartedProblem(w.x.id)
	if w.headWritten {
		w.writeLastEvent(EventError, problem)
		return
	}
	w.x.writeProblem(problem)
}

// writeTokens writes one event per token, all in one chunk.
func (w *eventWriter) writeTokens(tokens []digest.Token) {
	buffer := w.startBuffer()
	start := len(buffer)
	buffer = appendChunkSize(buffer)
	for _, token := range tokens {
		w.callerHas = w.callerHas.extend(token)
		buffer = append(buffer, "id: "...)
		buffer = w.callerHas.appendEventID(buffer)
		buffer = append(buffer, "\ndata: {\"token\":"...)
		buffer = strconv.AppendUint(buffer, uint64(token), 10)
		buffer = append(buffer, "}\n\n"...)
	}
	buffer = closeChunk(buffer, start)
	w.buffer = buffer
	w.x.write(buffer)
}

// OnFinish writes the last event, or a Problem if nothing was written before. If another daemon has
// taken over the request, it closes the connection instead.
func (w *eventWriter) OnFinish(result chicoryhall.Result) {
	if w.ended {
		return
	}
	w.ended = true
	switch {
	case !w.confirmed && result.Outcome == chicoryhall.OutcomeAnswered:
		w.endAsRestarted()
	case result.Reason == stream.ReasonTakenOver.String():
		w.x.closeConnection()
	case result.Outcome == chicoryhall.OutcomeAnswered:
		w.writeLastEvent(EventEnd, End{Tokens: w.callerHas.tokens})
	case w.headWritten:
		w.writeLastEvent(EventError, problemOf(w.x.id, result))
	default:
		w.x.writeProblem(problemOf(w.x.id, result))
	}
}

func (w *eventWriter) writeLastEvent(name string, data any) {
	text, err := json.Marshal(data)
	if err != nil {
		w.x.closeConnection()
		return
	}
	buffer := w.startBuffer()
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
	w.x.finish()
}

// startBuffer returns an empty buffer for the next events; the first time the buffer begins with
// the head of the answer.
func (w *eventWriter) startBuffer() []byte {
	buffer := w.buffer[:0]
	if w.headWritten {
		return buffer
	}
	w.headWritten = true
	head := answerHead{status: http.StatusOK, mediaType: MediaTypeEvents, request: w.x.id, closeAfter: w.x.closeAfter}
	return head.append(buffer, chunkedBody)
}

// appendChunkSize appends a placeholder for the size of a chunk.
func appendChunkSize(buffer []byte) []byte {
	return append(buffer, "000000\r\n"...)
}

// closeChunk ends the chunk that begins at start and fills in its size.
func closeChunk(buffer []byte, start int) []byte {
	size := len(buffer) - start - chunkSizeDigits - len("\r\n")
	const digits = "0123456789abcdef"
	for i := chunkSizeDigits - 1; i >= 0; i-- {
		buffer[start+i] = digits[size&0xf]
		size >>= 4
	}
	return append(buffer, "\r\n"...)
}
