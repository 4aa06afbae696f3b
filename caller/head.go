package caller

import (
	"net/http"
	"strconv"

	"chicoryhall.example/chicoryhall"
)

// chunkedBody is the length to give for a chunked body.
const chunkedBody = -1

// answerHead is the status line and the headers of an answer.
type answerHead struct {
	status     int
	mediaType  string
	request    chicoryhall.RequestID
	location   string
	retryAfter int
	// closeAfter means that the connection is closed after the answer.
	closeAfter bool
}

// append appends the head for a body of the given length, or for a chunked one.
func (h *answerHead) append(buffer []byte, length int) []byte {
	buffer = append(buffer, "HTTP/1.1 "...)
	buffer = strconv.AppendInt(buffer, int64(h.status), 10)
	buffer = append(buffer, ' ')
	buffer = append(buffer, http.StatusText(h.status)...)
	buffer = appendHeader(buffer, "Content-Type", h.mediaType)
	if h.request != "" {
		buffer = appendHeader(buffer, HeaderRequestID, string(h.request))
	}
	if h.location != "" {
		buffer = appendHeader(buffer, "Location", h.location)
	}
	if h.retryAfter > 0 {
		buffer = appendHeader(buffer, "Retry-After", strconv.Itoa(h.retryAfter))
	}
	if h.closeAfter {
		buffer = appendHeader(buffer, "Connection", "close")
	}
	if length == chunkedBody {
		buffer = appendHeader(buffer, "Cache-Control", "no-store")
		buffer = appendHeader(buffer, "Transfer-Encoding", "chunked")
	} else {
		buffer = appendHeader(buffer, "Content-Length", strconv.Itoa(length))
	}
	return append(buffer, "\r\n\r\n"...)
}

func appendHeader(buffer []byte, name, value string) []byte {
	buffer = append(buffer, "\r\n"...)
	buffer = append(buffer, name...)
	buffer = append(buffer, ": "...)
	return append(buffer, value...)
}
