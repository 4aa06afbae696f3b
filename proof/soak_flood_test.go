package proof

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// floodCallers is the number of callers whose requests are answered with floods at the same time, fewer than smallDescriptors allow.
	floodCallers = 180
	// floodTime is how long the floods last before an ordinary request is sent.
	floodTime = 3 * time.Second
)

// TestUntrustedEndpointsDoNotExhaustProcess guards against endpoints that make a process hold so much that it ends, and the requests of
// all others with it: bytes that are no answer, without end, or on many connections each just below what one may hold.
func TestUntrustedEndpointsDoNotExhaustProcess(t *testing.T) {
	head := func(status, fields string) string {
		return "HTTP/1.1 " + status + "\r\nRequest-Id: ID\r\nServer-Seal: s\r\n" + fields
	}
	const almostHead, almostBuffer = 63 << 10, 1<<20 - 4<<10
	for _, c := range []struct {
		name         string
		begin, piece string
		bytes        int
	}{
		{"no answer, without end", "", "0123456789abcdef", 0},
		{"a head without end", head("200 OK", ""), "Field: value\r\n", 0},
		{"interim answers without end", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 0},
		{"a failure's body without end", head("500 Bad", "\r\n"), "x", 0},
		{"a body without end", head("200 OK", "\r\n"), "x", 0},
		{"a body in chunks without end", head("200 OK", "Transfer-Encoding: chunked\r\n\r\n"), "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n", 0},
		{"an event without end", head("200 OK", "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: "), "x", 0},
		{"heads that stop before their end", head("200 OK", ""), "Field: value\r\n", almostHead},
		{"heads of many fields", head("200 OK", "Content-Length: 9\r\n"+strings.Repeat("a:\r\n", almostHead/4)+"\r\n"), "x", 1},
		{"failures' bodies that stop", head("500 Bad", "Content-Length: 1048576\r\n\r\n"), "x", almostBuffer},
		{"bodies that stop", head("200 OK", "Content-Length: 1048576\r\n\r\n"), "x", almostBuffer},
		{"bodies in chunks that stop", head("200 OK", "Transfer-Encoding: chunked\r\n\r\n"), "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n", almostBuffer},
		{"chunks of a byte that stop", head("200 OK", "Transfer-Encoding: chunked\r\n\r\n"), "1\r\nx\r\n", almostBuffer},
		{"events that stop", head("200 OK", "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: "), "x", almostBuffer},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newSoakPlatform(t, soakLayout{
				domains: []string{"x"}, daemons: 1, plain: 4, configuration: patientConfiguration(),
				plainSettings: map[string]any{"slots": 192, "answerFaults": map[string]any{
					"flood": map[string]any{"path": "/flood", "begin": c.begin, "piece": c.piece, "bytes": c.bytes},
				}},
				further: fmt.Sprintf("limits:\n  memory: %d\n  descriptors: %d\n", smallMemory, smallDescriptors),
			})
			d := w.daemons[0]
			crowd{floodCallers, askForFlood}.run(t, d.direct)
			time.Sleep(floodTime)
			status := askUntilAnswered(d.direct)
			must.True(t, d.running(), must.Sprint("the process has ended"))
			peak := peakMemory(t, d.process)
			t.Logf("peak memory %d KiB, ordinary request: %d", peak>>10, status)
			must.LessEq(t, maxPeak, peak)
			must.Eq(t, http.StatusOK, status)
		})
	}
}

// askForFlood sends a request that is answered with a flood. Half of the callers' requests may run again.
func askForFlood(out io.Writer, number int) error {
	route := []string{"safe", "unsafe"}[number%2]
	_, err := fmt.Fprintf(out, "POST /%s/flood HTTP/1.1\r\nHost: h\r\nRequest-Id: f%d\r\nApi-Key: k\r\nContent-Length: 1\r\n\r\nx", route, number)
	return err
}
