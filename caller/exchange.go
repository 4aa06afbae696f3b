package caller

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"chicoryhall.example/chicoryhall"
)

// exchange is one request of a caller whose answer is written from a request's events.
type exchange struct {
	server *Server
	state  *connection
	// out is where answers go; it encrypts if the connection does.
	out net.Conn
	// last tells that the caller asked for the connection to end.
	last bool
	id   chicoryhall.RequestID
}

// newExchange takes the connection over from nbhttp; false means that it is busy or gone.
func (s *Server) newExchange(w http.ResponseWriter, r *http.Request) (*exchange, bool) {
	socket, out, ok := socketOf(w)
	if !ok {
		return nil, false
	}
	state := s.connections.of(socket)
	if !state.take() {
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
	return &exchange{server: s, state: state, out: out, last: r.Close}, true
}

// write sends bytes; a caller that is too slow or gone loses its connection.
func (x *exchange) write(bytes []byte) {
	if _, err := x.out.Write(bytes); err != nil {
		_ = x.out.Close()
	}
}

// end frees the connection for the next request.
func (x *exchange) end() {
	x.state.release()
	if x.last {
		_ = x.out.SetReadDeadline(time.Now().Add(lingerTime))
		return
	}
	_ = x.out.SetReadDeadline(time.Now().Add(readTimeout))
}

// cut closes the connection so that the caller resumes elsewhere.
func (x *exchange) cut() {
	_ = x.out.Close()
}

// answer writes a whole JSON answer and ends the exchange.
func (x *exchange) answer(status int, location string, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		x.cut()
		return
	}
	head := answerHead{status: status, mediaType: MediaTypeJSON, request: x.id, location: location, last: x.last}
	x.write(append(head.append(nil, len(text)), text...))
	x.end()
}

// empty writes an answer without a body and ends the exchange.
func (x *exchange) empty() {
	x.write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
	x.end()
}

// problem writes a Problem and ends the exchange.
func (x *exchange) problem(problem Problem) {
	x.write(appendProblem(nil, problem, x.last))
	x.end()
}
