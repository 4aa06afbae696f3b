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
	// raceIdleTimeout is the idle timeout of connections in TestAnswersRequestsAtIdleTimeout.
	raceIdleTimeout = 20 * time.Millisecond
	// raceCallers is the number of callers whose connections time out at about the same moment, raceRounds the
	// number of repetitions.
	raceCallers, raceRounds = 64, 40
)

// TestAnswersRequestsAtIdleTimeout sends requests at about the moment when the idle timeouts of their
// connections expire. It guards against closing a connection whose request has already been sent to an
// endpoint.
func TestAnswersRequestsAtIdleTimeout(t *testing.T) {
	var received sync.Map
	e := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		received.Store(request.Header.Get("Id"), true)
		time.Sleep(5 * time.Millisecond)
		return send(conn, wholeAnswer(request, "done"))
	})
	set := testRules()
	set.Limits.IdleTimeout = raceIdleTimeout
	w := startServer(t, set, e)
	var answered, lost atomic.Int64
	for round := range raceRounds {
		var callers sync.WaitGroup
		for caller := range raceCallers {
			conn, reader := w.dial(t)
			callers.Go(func() {
				defer conn.Close()
				if !send(conn, requestText("GET", "/safe/a", "first", "")) || readAnswer(reader).err != nil {
					return
				}
				time.Sleep(raceIdleTimeout - time.Millisecond + time.Duration(caller)*2*time.Millisecond/raceCallers)
				id := fmt.Sprintf("%d-%d", round, caller)
				_ = send(conn, requestText("GET", "/safe/a", id, ""))
				if readAnswer(reader).err == nil {
					answered.Add(1)
				} else if _, ran := received.Load(id); ran {
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

// TestLateIdleTimeoutReadsPendingData sends a request after the idle timeout, which the server notices late,
// as if the process had been held up. Data that may have arrived before must be read before the connection is
// closed.
func TestLateIdleTimeoutReadsPendingData(t *testing.T) {
	const late = 200 * time.Millisecond
	set := testRules()
	set.Limits.IdleTimeout = 200 * time.Millisecond
	w := startLateServer(t, late, set, newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		return send(conn, wholeAnswer(request, "done"))
	}))
	conn, reader := w.dial(t)
	must.True(t, send(conn, requestText("GET", "/safe/a", "1", "")))
	must.NoError(t, readAnswer(reader).err)
	time.Sleep(set.Limits.IdleTimeout + late + 50*time.Millisecond)
	must.True(t, send(conn, requestText("GET", "/safe/a", "2", "")))
	must.NoError(t, readAnswer(reader).err)
	time.Sleep(2*set.Limits.IdleTimeout + 2*late)
	_, err := reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}
