package passthrough_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLongEventInPiecesIsWhole guards against a stream that ends as the memory of an incomplete event, which grows in steps, is taken for its
// size: events of up to 1 MiB are passed on.
func TestLongEventInPiecesIsWhole(t *testing.T) {
	event := "id: 1\ndata: " + strings.Repeat("x", 1_000_000) + "\n\n"
	e := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		sent := send(conn, streamHead(request))
		for rest := event; sent && rest != ""; {
			piece := rest[:min(len(rest), 40_000)]
			rest = rest[len(piece):]
			sent = send(conn, chunk(piece))
			time.Sleep(time.Millisecond) // So that each one is read alone.
		}
		return sent && send(conn, "0\r\n\r\n")
	})
	got := startServer(t, testRules(), e).ask(t, requestText("POST", "/once/a", "1", "x"))
	must.NoError(t, got.err)
	must.Eq(t, len(event), len(got.body))
}
