package http1

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// notForwarded are the header fields that are not forwarded: those that apply to a single connection,
// Content-Length, which AppendRequestHead and AppendResponseHead write anew, and Expect, because the sender's wait
// for a 100 Continue ends here (see ExpectsContinue).
var notForwarded = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEndFields returns the fields of a header that are forwarded. It shares their values with the header.
func EndToEndFields(header http.Header) http.Header {
	dropped := slices.Clone(notForwarded)
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			dropped = append(dropped, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if !slices.Contains(dropped, name) {
			forwarded[name] = values
		}
	}
	return forwarded
}

// AppendRequestHead appends the head of a request whose body has the given length. A GET or HEAD request
// without a body gets no Content-Length.
func AppendRequestHead(out []byte, method, target, host string, header http.Header, length int) []byte {
	out = append(out, method...)
	out = append(out, ' ')
	out = append(out, target...)
	out = append(out, " HTTP/1.1\r\nHost: "...)
	out = append(out, host...)
	out = append(out, "\r\n"...)
	out = appendFields(out, header)
	if length > 0 || method != http.MethodGet && method != http.MethodHead {
		out = appendLength(out, length)
	}
	return append(out, "\r\n"...)
}

// Framing is how the body of an answer that is written is framed; bodyFraming is its counterpart for messages that
// are read.
type Framing int

// The framings of an answer.
const (
	// FramingLength states the length of the body in the head.
	FramingLength Framing = iota
	// FramingChunked sends the body in chunks.
	FramingChunked
	// FramingClose means that the body ends with the connection, which has to be closed after it.
	FramingClose
)

// AppendResponseHead appends the head of an answer. The length is only used with FramingLength; closeAfter
// announces that the connection is closed after the answer.
func AppendResponseHead(out []byte, status int, header http.Header, framing Framing, length int, closeAfter bool) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), 10)
	out = append(out, ' ')
	out = append(out, http.StatusText(status)...)
	out = append(out, "\r\n"...)
	out = appendFields(out, header)
	switch framing {
	case FramingLength:
		out = appendLength(out, length)
	case FramingChunked:
		out = append(out, "Transfer-Encoding: chunked\r\n"...)
	case FramingClose:
	}
	if closeAfter {
		out = append(out, "Connection: close\r\n"...)
	}
	return append(out, "\r\n"...)
}

// AppendChunk appends a chunk of a body. It appends nothing for an empty piece, as an empty chunk would end
// the body.
func AppendChunk(out, piece []byte) []byte {
	if len(piece) == 0 {
		return out
	}
	out = strconv.AppendInt(out, int64(len(piece)), hexBase)
	out = append(out, endOfLine...)
	out = append(out, piece...)
	return append(out, endOfLine...)
}

// AppendLastChunk appends the end of a chunked body.
func AppendLastChunk(out []byte) []byte {
	return append(out, "0\r\n\r\n"...)
}

func appendLength(out []byte, length int) []byte {
	out = append(out, "Content-Length: "...)
	out = strconv.AppendInt(out, int64(length), 10)
	return append(out, "\r\n"...)
}

// appendFields appends the fields of a header. It omits fields that are not valid, as they might change the
// framing.
func appendFields(out []byte, header http.Header) []byte {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			continue
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				continue
			}
			out = append(out, name...)
			out = append(out, ": "...)
			out = append(out, value...)
			out = append(out, "\r\n"...)
		}
	}
	return out
}
