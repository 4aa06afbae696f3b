package passthrough_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// edgeIdle is the idle time of connections in TestAnswersWhatArrivesAsTheIdleTimeEnds.
	edgeIdle = 20 * time.Millisecond
	// edgeCallers is how many callers meet the end of the idle time at once, edgeRounds how often.
	edgeCallers, edgeRounds = 64, 40
)

// TestAnswersWhatArrivesAsTheIdleTimeEnds sends requests in the moment in which the idle time of
// their connections ends: one that reaches an endpoint must be answered.
func TestAnswersWhatArrivesAsTheIdleTimeEnds(t *testing.T) {
	var reached sync.Map
	e := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		reached.Store(request.Header.Get("Id"), true)
		time.Sleep(5 * time.Millisecond)
		return say(conn, whole(request, "done"))
	})
	set := rules()
	set.Limits.IdleTimeout = edgeIdle
	w := newWorld(t, set, e)
	var answered, lost atomic.Int64
	for round := range edgeRounds {
		var callers sync.WaitGroup
		for caller := range edgeCallers {
			conn, reader := w.dial(t)
			callers.Go(func() {
				defer conn.Close()
				if !say(conn, requestText("GET", "/safe/a", "first", "")) || readAnswer(reader).err != nil {
					return
				}
				time.Sleep(edgeIdle - time.Millisecond + time.Duration(caller)*2*time.Millisecond/edgeCallers)
				id := fmt.Sprintf("%d-%d", round, caller)
				_ = say(conn, requestText("GET", "/safe/a", id, ""))
				if readAnswer(reader).err == nil {
					answered.Add(1)
				} else if _, ran := reached.Load(id); ran {
					lost.Add(1)
				}
			})
		}
		callers.Wait()
	}
	t.Log(strconv.FormatInt(answered.Load(), 10) + " were answered")
	must.Positive(t, answered.Load())
	must.Eq(t, 0, lost.Load())
}

// TestReadsWhatArrivedWhileTheProcessWasHeldUp sends a request after the end of the idle time, which
// the server notes late: what may have arrived meanwhile is read before the connection is closed.
func TestReadsWhatArrivedWhileTheProcessWasHeldUp(t *testing.T) {
	const late = 200 * time.Millisecond
	set := rules()
	set.Limits.IdleTimeout = 200 * time.Millisecond
	w := newWorldOn(t, late, set, newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		return say(conn, whole(request, "done"))
	}))
	conn, reader := w.dial(t)
	must.True(t, say(conn, requestText("GET", "/safe/a", "1", "")))
	must.NoError(t, readAnswer(reader).err)
	time.Sleep(set.Limits.IdleTimeout + late + 50*time.Millisecond)
	must.True(t, say(conn, requestText("GET", "/safe/a", "2", "")))
	must.NoError(t, readAnswer(reader).err)
	time.Sleep(2*set.Limits.IdleTimeout + 2*late)
	_, err := reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}
