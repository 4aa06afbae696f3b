package passthrough_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestSlowCallersDoNotFillMemory guards against answers that are read from endpoints faster than all callers together read them, and
// fill the memory of the process (LOST).
func TestSlowCallersDoNotFillMemory(t *testing.T) {
	const (
		callers = 24
		size    = 7 << 20
		// maxHeld is what may wait for callers: 32 MiB for all, and 256 KiB and the first 1 MiB of an answer for each.
		maxHeld = 32<<20 + callers*(256<<10+1<<20)
		// enough is how much waits once callers are held back.
		enough = 30 << 20
	)
	text := strings.Repeat("0123456789abcdef", size/16)
	e := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool { return send(conn, wholeAnswer(request, text)) })
	set := testRules()
	set.Rules[1].Timeout = time.Minute // The rule of /unsafe/.
	w := startServer(t, set, e)
	var readers []*bufio.Reader
	for i := range callers {
		conn, reader := w.dial(t)
		must.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
		must.True(t, send(conn, requestText("POST", "/unsafe/a", fmt.Sprint(i), "x")))
		readers = append(readers, reader)
	}
	most := int64(0)
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		before := most
		most = max(most, w.server.UnsentBytes())
		if before < enough && most >= enough {
			end = time.Now().Add(time.Second) // For what comes beyond it.
		}
	}
	t.Logf("%d MiB waited at most", most>>20)
	must.GreaterEq(t, int64(enough), most)
	must.LessEq(t, int64(maxHeld), most)
	for _, reader := range readers {
		response, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		n, err := io.Copy(io.Discard, response.Body)
		must.NoError(t, err)
		must.Eq(t, int64(size), n)
	}
}
