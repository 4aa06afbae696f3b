package serve

import (
	"net/http"
	"strconv"
)

// Stream is an answer that is sent in pieces, each as one HTTP chunk. It may carry any data, not only the stream of an
// engine. Its methods must not be called concurrently.
type Stream struct {
	exchange *Exchange
	ended    bool
}

// Stream starts an answer with status 200 that is sent in pieces.
func (x *Exchange) Stream(mediaType string) *Stream {
	out := x.head(http.StatusOK, mediaType)
	x.write(append(out, "Transfer-Encoding: chunked\r\n\r\n"...))
	return &Stream{exchange: x}
}

// Write sends one piece immediately. It ignores an empty piece, as an empty chunk would end the answer, and any piece
// after End.
func (s *Stream) Write(piece []byte) {
	if s.ended || len(piece) == 0 {
		return
	}
	out := make([]byte, 0, len(piece)+16)
	out = strconv.AppendInt(out, int64(len(piece)), 16)
	out = append(out, "\r\n"...)
	out = append(out, piece...)
	s.exchange.write(append(out, "\r\n"...))
}

// End completes the answer.
func (s *Stream) End() {
	if s.ended {
		return
	}
	s.ended = true
	s.exchange.write([]byte("0\r\n\r\n"))
}
