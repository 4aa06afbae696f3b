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
type eventWriter struct {
	x *exchange
	// position is the number of tokens that the caller has.
	position int
	headed   bool
	ended    bool
	buffer   []byte
}

// OnAccepted writes nothing, as the status may still tell of a failure.
func (w *eventWriter) OnAccepted() {}

// OnTokens writes one event for each token in one chunk.
func (w *eventWriter) OnTokens(position int, tokens []digest.Token) {
	if w.ended {
		return
	}
	buffer := w.begin()
	start := len(buffer)
	buffer = appendChunkSize(buffer)
	for i, token := range tokens {
		buffer = append(buffer, "id: "...)
		buffer = strconv.AppendInt(buffer, int64(position+i), 10)
		buffer = append(buffer, "\ndata: {\"token\":"...)
		buffer = strconv.AppendUint(buffer, uint64(token), 10)
		buffer = append(buffer, "}\n\n"...)
	}
	w.position = position + len(tokens)
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
	case result.Reason == stream.ReasonReplaced.String():
		w.x.cut()
	case result.Outcome == chicoryhall.Answered:
		w.close(EventEnd, End{Tokens: w.position})
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
