package hall

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// Flood is what a faulty endpoint sends in place of an answer: Bytes of it, and then nothing more until the caller closes, or without end
// if Bytes is 0.
type Flood struct {
	// Path is the part of a request's path that it contains to be answered so.
	Path string `yaml:"path"`
	// Begin is how it begins; "ID" in it stands for the request's ID. Piece is what follows, again and again.
	Begin string `yaml:"begin"`
	Piece string `yaml:"piece"`
	Bytes int    `yaml:"bytes,omitempty"`
}

// floodBlock is the size of the blocks that are written, in bytes.
const floodBlock = 32 << 10

// isFor reports whether a request is answered with the flood.
func (f *Flood) isFor(request *http.Request) bool {
	return f.Piece != "" && strings.Contains(request.URL.Path, f.Path)
}

// send writes the flood until the caller closes the connection.
func (f *Flood) send(conn net.Conn, request *http.Request) {
	begin := strings.ReplaceAll(f.Begin, "ID", request.Header.Get("Request-Id"))
	if _, err := io.WriteString(conn, begin); err != nil {
		return
	}
	block := strings.Repeat(f.Piece, max(1, floodBlock/len(f.Piece)))
	for sent := 0; f.Bytes == 0 || sent < f.Bytes; {
		rest := len(block)
		if f.Bytes > 0 {
			rest = min(rest, f.Bytes-sent)
		}
		n, err := fmt.Fprint(conn, block[:rest])
		if err != nil {
			return
		}
		sent += n
	}
	_, _ = io.Copy(io.Discard, conn) // It ends once the caller has closed.
}
