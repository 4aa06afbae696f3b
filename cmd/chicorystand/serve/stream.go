package serve

import (
	"net/http"
	"strconv"
)

// Stream is an answer that is sent in pieces, as HTTP chunks.
type Stream struct {
	exchange *Exchange
	ended    bool
}

// Stream starts an answer that is sent in pieces.
func (x *Exchange) Stream(mediaType string) *Stream {
	out := x.head(http.StatusOK, mediaType)
	x.write(append(out, "Transfer-Encoding: chunked\r\n\r\n"...))
	return &Stream{exchange: x}
}

// Write sends one piece immediately.
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

// End completes the answer. Later pieces are dropped.
func (s *Stream) End() {
	if s.ended {
		return
	}
	s.ended = true
	s.exchange.write([]byte("0\r\n\r\n"))
}
