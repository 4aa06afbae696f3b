package caller

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"chicoryhall.example/chicoryhall"
)

// exchange is a caller's request and its answer, which is written outside of nbhttp's handler. (In
// package chicoryhall, the word means a request that is passed through.)
type exchange struct {
	server     *Server
	connection *connection
	// out is what answers are written to: the TLS connection or the socket.
	out net.Conn
	// closeAfter means that the caller asked to close the connection after the answer.
	closeAfter bool
	id         chicoryhall.RequestID
}

// newExchange takes the connection over from nbhttp, or returns false if that is not possible. It
// also returns false, and closes the socket, if another exchange is in progress on the connection or
// the connection is closed already.
func (s *Server) newExchange(w http.ResponseWriter, r *http.Request) (*exchange, bool) {
	socket, out, ok := socketsOf(w)
	if !ok {
		return nil, false
	}
	conn := s.connections.get(socket)
	if !conn.acquire() {
		_ = socket.Close()
		return nil, false
	}
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return nil, false
	}
	if _, _, err := hijacker.Hijack(); err != nil {
		return nil, false
	}
	_ = socket.SetReadDeadline(time.Time{})
	return &exchange{server: s, connection: conn, out: out, closeAfter: r.Close}, true
}

// write sends bytes. If the caller is too slow or gone, the connection is closed.
func (x *exchange) write(bytes []byte) {
	if _, err := x.out.Write(bytes); err != nil {
		_ = x.out.Close()
	}
}

// finish ends the exchange and makes the connection available for the next request. If the caller
// asked to close it after the answer, it is closed after lingerTime, so that the caller can read the
// answer.
func (x *exchange) finish() {
	x.connection.release()
	if x.closeAfter {
		_ = x.out.SetReadDeadline(time.Now().Add(lingerTime))
		return
	}
	_ = x.out.SetReadDeadline(time.Now().Add(readTimeout))
}

// closeConnection closes the connection without an end of the answer, so that the caller resumes
// the request at another daemon.
func (x *exchange) closeConnection() {
	_ = x.out.Close()
}

// writeJSON writes a complete JSON answer and ends the exchange.
func (x *exchange) writeJSON(status int, location string, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		x.closeConnection()
		return
	}
	head := answerHead{status: status, mediaType: MediaTypeJSON, request: x.id, location: location, closeAfter: x.closeAfter}
	x.write(append(head.append(nil, len(text)), text...))
	x.finish()
}

// writeNoContent writes an answer without headers and without a body, and ends the exchange.
func (x *exchange) writeNoContent() {
	x.write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
	x.finish()
}

// writeProblem writes a Problem and ends the exchange.
func (x *exchange) writeProblem(problem Problem) {
	x.write(appendProblem(nil, problem, x.closeAfter))
	x.finish()
}
