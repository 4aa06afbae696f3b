package passthrough

import (
	"net/http"

	"chicoryhall.example/chicoryhall/http1"
)

// write sends bytes. It closes the connection if the caller is gone or reads too slowly.
func (conn *connection) write(bytes []byte) {
	if conn.closed {
		return
	}
	conn.written += len(bytes)
	conn.awaitReader()
	conn.unsent.Add(int64(len(bytes)))
	_ = conn.socket.Write(bytes) // A failed write closes the connection.
}

// writeOwn sends an answer of this daemon to a request with a method, which is empty if it is not known. One to HEAD has no body, but
// states the length of the one that it would have.
func (conn *connection) writeOwn(method string, status int, header http.Header, text string, last bool) {
	body := []byte(text + "\n")
	if method != http.MethodHead {
		conn.writeWhole(status, header, body, last)
		return
	}
	conn.write(http1.AppendResponseHead(nil, status, header, http1.FramingLength, len(body), last))
}

// headSpace is the space for the head of an answer that is sent with its body, in bytes. Larger ones need more.
const headSpace = 512

// writeWhole sends a complete answer.
func (conn *connection) writeWhole(status int, header http.Header, body []byte, last bool) {
	out := make([]byte, 0, len(body)+headSpace)
	out = http1.AppendResponseHead(out, status, header, http1.FramingLength, len(body), last)
	conn.write(append(out, body...))
}

// writeBuffered sends a complete answer with a body that was collected. A large one is not copied into one piece of memory.
func (conn *connection) writeBuffered(status int, header http.Header, body *bodyBuffer, last bool) {
	if body.size <= maxPiece {
		conn.writeWhole(status, header, body.join(), last)
		return
	}
	conn.write(http1.AppendResponseHead(nil, status, header, http1.FramingLength, body.size, last))
	for _, piece := range body.pieces {
		conn.write(piece)
	}
}
