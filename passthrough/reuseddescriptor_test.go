package passthrough_test

import (
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/passthrough"
)

// rawCaller is a caller whose file descriptor exists before it connects.
type rawCaller int

func newRawCaller(t *testing.T) rawCaller {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	must.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	must.NoError(t, unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: 3}))
	return rawCaller(fd)
}

// send connects and sends a text.
func (c rawCaller) send(t *testing.T, address, text string) {
	t.Helper()
	to := netip.MustParseAddrPort(address)
	must.NoError(t, unix.Connect(int(c), &unix.SockaddrInet4{Addr: to.Addr().As4(), Port: int(to.Port())}))
	_, err := unix.Write(int(c), []byte(text))
	must.NoError(t, err)
}

// receive returns the first bytes of the answer, or an empty text if the connection has ended.
func (c rawCaller) receive() string {
	buffer := make([]byte, 64)
	n, err := unix.Read(int(c), buffer)
	if err != nil {
		return err.Error()
	}
	return string(buffer[:n])
}

// TestEventOfClosedCallerEndsNoOther guards against an event of a caller's connection that was closed since, which ends the next
// connection with the same file descriptor after its request was passed on (LOST).
func TestEventOfClosedCallerEndsNoOther(t *testing.T) {
	const step = 100 * time.Millisecond
	var hold atomic.Int64
	e := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		return send(conn, wholeAnswer(request, "done"))
	})
	set := testRules()
	set.Limits.HeadTimeout, set.Limits.IdleTimeout = 20*step, 3*step
	w := startConfiguredServer(t, 0, set, routerTo(e), func(w *testServer, _ *passthrough.Config) {
		w.admission = func(start func(chicoryhall.Permit), _ func(time.Duration, string)) {
			time.Sleep(time.Duration(hold.Load()))
			start(w)
		}
	})
	callers := make([]rawCaller, 6)
	for i := range callers {
		callers[i] = newRawCaller(t)
	}
	connect := func() net.Conn {
		conn, _ := w.dial(t)
		return conn
	}
	first, second := connect(), connect()
	victim, reader := w.dial(t)
	must.True(t, send(victim, requestText("GET", "/safe/a", "victim", "")))
	must.NoError(t, readAnswer(reader).err)
	time.Sleep(step)
	hold.Store(int64(step))
	must.True(t, send(first, requestText("GET", "/safe/a", "first", ""))) // The event loop gets what follows together.
	time.Sleep(step / 2)
	hold.Store(int64(3 * step))
	must.True(t, send(second, requestText("GET", "/safe/a", "second", "")))
	must.NoError(t, victim.Close())
	time.Sleep(5 * step / 2) // The idle timeout has closed the connection by now, and its event is still to come.
	hold.Store(0)
	for i, caller := range callers {
		caller.send(t, w.address, requestText("GET", "/safe/a", string(rune('a'+i)), ""))
	}
	for i, caller := range callers {
		must.StrHasPrefix(t, "HTTP/1.1 200", caller.receive(), must.Sprintf("caller %c", 'a'+i))
	}
}
