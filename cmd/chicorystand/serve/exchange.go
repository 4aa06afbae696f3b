package serve

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/lesismal/nbio"
)

// Exchange is one request, with the methods for answering it.
type Exchange struct {
	// Method, URL, Header and Body are those of the request. URL has a path and a query, but no host. Body is complete.
	Method string
	URL    *url.URL
	Header http.Header
	Body   []byte

	server     *Server
	connection *connection
}

// Failure is the JSON body of an answer that reports an error.
type Failure struct {
	Error string `json:"error"`
}

// Decode decodes the JSON body into a value. If that fails, it answers with status 400 and returns false.
func (x *Exchange) Decode(into any) bool {
	if err := json.Unmarshal(x.Body, into); err != nil {
		x.Fail(http.StatusBadRequest, "body is not the expected JSON: %v", err)
		return false
	}
	return true
}

// Query returns the first value of a query parameter, or "" if it is absent.
func (x *Exchange) Query(name string) string {
	return x.URL.Query().Get(name)
}

// OnClose makes the server call f once when the connection is closed. If it is closed already, f is not called.
func (x *Exchange) OnClose(f func()) {
	x.server.onClose(x.connection, f)
}

// Reply answers with a status and a JSON body.
func (x *Exchange) Reply(status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		x.Fail(http.StatusInternalServerError, "answer was not encoded: %v", err)
		return
	}
	x.ReplyBytes(status, "application/json", encoded)
}

// ReplyBytes answers with a status and a body.
func (x *Exchange) ReplyBytes(status int, mediaType string, body []byte) {
	out := x.head(status, mediaType)
	out = append(out, "Content-Length: "...)
	out = strconv.AppendInt(out, int64(len(body)), 10)
	out = append(out, "\r\n\r\n"...)
	x.write(append(out, body...))
}

// ReplyEmpty answers with a status and no body.
func (x *Exchange) ReplyEmpty(status int) {
	out := x.head(status, "")
	if status != http.StatusNoContent {
		out = append(out, "Content-Length: 0\r\n"...)
	}
	x.write(append(out, "\r\n"...))
}

// Fail answers with a status and a Failure.
func (x *Exchange) Fail(status int, format string, arguments ...any) {
	x.Reply(status, Failure{Error: fmt.Sprintf(format, arguments...)})
}

// Drop closes the connection without an answer.
func (x *Exchange) Drop() {
	_ = x.connection.nbioConn.Close()
}

// Upgrade switches the connection to another protocol. It first calls start with the connection. The function that
// start returns handles the data received after the request. Then Upgrade answers with status 101. Anything that start
// itself wrote to the connection would be sent before that answer.
func (x *Exchange) Upgrade(protocol string, start func(nbioConn *nbio.Conn) (handleData func(data []byte))) {
	c := x.connection
	handleData := start(c.nbioConn)
	c.nbioConn.OnData(func(_ *nbio.Conn, data []byte) {
		if !c.silenced.Load() {
			handleData(data)
		}
	})
	x.write([]byte("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"))
}

// IsSilenced reports whether Server.Silence was called while the connection was open, so that answers are discarded.
// The Server checks that itself; handlers need not.
func (x *Exchange) IsSilenced() bool {
	return x.connection.silenced.Load()
}

// head returns the status line and the Content-Type header of an answer.
func (x *Exchange) head(status int, mediaType string) []byte {
	out := make([]byte, 0, 256)
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), 10)
	out = append(out, ' ')
	out = append(out, http.StatusText(status)...)
	out = append(out, "\r\n"...)
	if mediaType != "" {
		out = append(out, "Content-Type: "...)
		out = append(out, mediaType...)
		out = append(out, "\r\n"...)
	}
	return out
}

// write writes data to the connection, unless it has been silenced. If that fails, nbio closes the connection.
func (x *Exchange) write(data []byte) {
	if x.connection.silenced.Load() {
		return
	}
	_, _ = x.connection.nbioConn.Write(data)
}
