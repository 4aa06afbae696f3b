package passthrough_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
)

func answering(body string) behaviour {
	return func(conn net.Conn, _ int, request *http.Request) bool { return say(conn, whole(request, body)) }
}

func refusing(conn net.Conn, _ int, request *http.Request) bool {
	return say(conn, fmt.Sprintf("HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id")))
}

func failing(conn net.Conn, _ int, request *http.Request) bool {
	return say(conn, fmt.Sprintf("HTTP/1.1 500 Bad\r\nId: %s\r\nSignature: s\r\nContent-Length: 3\r\n\r\nbad", request.Header.Get("Id")))
}

func unpromising(conn net.Conn, _ int, request *http.Request) bool {
	return say(conn, fmt.Sprintf("HTTP/1.1 503 Busy\r\nId: %s\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id")))
}

func cutting(conn net.Conn, _ int, request *http.Request) bool {
	say(conn, strings.Replace(whole(request, "hello"), "hello", "he", 1))
	return false
}

func unframed(conn net.Conn, _ int, request *http.Request) bool {
	say(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n\r\nhello", request.Header.Get("Id")))
	return false
}

func unframedReset(conn net.Conn, number int, request *http.Request) bool {
	unframed(conn, number, request)
	time.Sleep(20 * time.Millisecond)
	return reset(conn)
}

func closing(net.Conn, int, *http.Request) bool { return false }

func nonsense(conn net.Conn, _ int, _ *http.Request) bool { return say(conn, "0123456789\r\n\r\n") }

func unsigned(conn net.Conn, _ int, request *http.Request) bool {
	return say(conn, strings.Replace(whole(request, "hello"), "Signature: s\r\n", "", 1))
}

func surplus(conn net.Conn, _ int, request *http.Request) bool {
	return say(conn, whole(request, "hello")+whole(request, "again"))
}

func late(conn net.Conn, _ int, request *http.Request) bool {
	other := &http.Request{Header: http.Header{"Id": {"other"}}}
	return say(conn, whole(other, "foreign")+whole(request, "hello"))
}

// TestAnswersAndFailures tells what a caller gets for each behaviour of the first endpoint; the
// second one answers "second".
func TestAnswersAndFailures(t *testing.T) {
	cases := []struct {
		name   string
		target string
		first  behaviour
		status int
		body   string
		// seconds is the number of requests at the second endpoint.
		seconds int
	}{
		{"whole", "/unsafe/a", answering("hello"), 200, "hello", 0},
		{"refused", "/unsafe/a", refusing, 200, "second", 1},
		{"unsafe, failed there", "/unsafe/a", failing, 500, "bad", 0},
		{"safe, failed there", "/safe/a", failing, 200, "second", 1},
		{"a refusal that does not say that nothing ran", "/unsafe/a", unpromising, 502, "", 0},
		{"unsafe, cut", "/unsafe/a", cutting, 502, "", 0},
		{"safe, cut", "/safe/a", cutting, 200, "second", 1},
		{"until the end of the connection", "/unsafe/a", unframed, 200, "hello", 0},
		{"reset without a length", "/unsafe/a", unframedReset, 502, "", 0},
		{"closed without an answer", "/unsafe/a", closing, 502, "", 0},
		{"safe, closed without an answer", "/safe/a", closing, 200, "second", 1},
		{"bytes that are no answer", "/unsafe/a", nonsense, 502, "", 0},
		{"success without a signature", "/unsafe/a", unsigned, 502, "", 0},
		{"bytes behind the answer", "/unsafe/a", surplus, 200, "hello", 0},
		{"a late answer to another request", "/unsafe/a", late, 200, "hello", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			second := newEndpoint(t, answering("second"))
			w := newWorld(t, rules(), newEndpoint(t, c.first), second)
			got := w.ask(t, requestText("POST", c.target, "1", "x"))
			must.NoError(t, got.err)
			must.Eq(t, c.status, got.status)
			if c.body != "" {
				must.Eq(t, c.body, got.body)
			}
			must.Len(t, c.seconds, second.requests())
			w.idle(t)
		})
	}
}

func TestUnreachableEndpointsAreNotRun(t *testing.T) {
	gone := newEndpoint(t, closing)
	must.NoError(t, gone.listener.Close())
	w := newWorld(t, rules(), gone)
	got := w.ask(t, requestText("POST", "/unsafe/a", "1", "x"))
	must.Eq(t, 503, got.status)
	must.NotEq(t, "", got.header.Get("Retry-After"))
	w.idle(t)
}

func TestRetriesEndWithTheBudget(t *testing.T) {
	second := newEndpoint(t, answering("second"))
	w := newWorld(t, rules(), newEndpoint(t, cutting), second)
	w.retries = 0
	got := w.ask(t, requestText("GET", "/safe/a", "1", ""))
	must.Eq(t, 502, got.status)
	must.SliceEmpty(t, second.requests())
}

func TestRequestsArePassedOnAsTheyAre(t *testing.T) {
	e := newEndpoint(t, answering("hello"))
	w := newWorld(t, rules(), e)
	got := w.ask(t, "PUT /safe/x%2fy?q=1&q=2 HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nWait: 1500ms\r\nOrganisation: forged\r\n"+
		"Connection: X-Hop\r\nX-Hop: 1\r\nX-Keep: 2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	must.Eq(t, 200, got.status)
	must.Eq(t, "s", got.header.Get("Signature"))
	seen := e.requests()[0]
	must.Eq(t, "PUT", seen.Method)
	must.Eq(t, "/safe/x%2fy?q=1&q=2", seen.RequestURI)
	must.Eq(t, "h", seen.Host)
	must.Eq(t, "abc", e.bodies[0])
	must.Eq(t, "e0", seen.Header.Get("Endpoint"))
	must.Eq(t, "o", seen.Header.Get("Organisation"))
	must.Eq(t, "2", seen.Header.Get("X-Keep"))
	must.Eq(t, "", seen.Header.Get("X-Hop"))
	must.Eq(t, "", seen.Header.Get("Key"))
	wait, err := time.ParseDuration(seen.Header.Get("Wait"))
	must.NoError(t, err)
	must.True(t, wait > time.Second && wait <= 1500*time.Millisecond)
}

func TestRequestsThatAreRefusedAtOnce(t *testing.T) {
	cases := []struct {
		name    string
		text    string
		status  int
		hasTime bool
	}{
		{"no rule", requestText("GET", "/none/", "1", ""), 404, false},
		{"another host", strings.Replace(requestText("GET", "/safe/", "1", ""), "Host: h", "Host: g", 1), 404, false},
		{"unknown credential", strings.Replace(requestText("GET", "/safe/", "1", ""), "Key: k", "Key: z", 1), 401, false},
		{"no credential", strings.Replace(requestText("GET", "/safe/", "1", ""), "Key: k\r\n", "", 1), 401, false},
		{"no id", strings.Replace(requestText("GET", "/safe/", "1", ""), "Id: 1\r\n", "", 1), 400, false},
		{"impossible time", strings.Replace(requestText("GET", "/safe/", "1", ""), "Key: k", "Key: k\r\nWait: soon", 1), 400, false},
		{"large body", strings.Replace(requestText("POST", "/safe/", "1", ""), "Length: 0", "Length: 4096", 1), 413, false},
		{"large head", "GET /safe/ HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 4096) + "\r\n\r\n", 431, false},
		{"two lengths", "POST /safe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400, false},
		{"no request", "\x16\x03\x01\x02\r\n\r\n", 400, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEndpoint(t, answering("hello"))
			w := newWorld(t, rules(), e)
			got := w.ask(t, c.text)
			must.NoError(t, got.err)
			must.Eq(t, c.status, got.status)
			must.SliceEmpty(t, e.requests())
		})
	}
}

func TestRefusalsTellWhenToComeBack(t *testing.T) {
	w := newWorld(t, nil, newEndpoint(t, answering("hello")))
	got := w.ask(t, requestText("GET", "/safe/", "1", ""))
	must.Eq(t, 503, got.status)
	must.Eq(t, "0.500", got.header.Get("Retry-After"))

	full := newWorld(t, rules(), newEndpoint(t, answering("hello")))
	full.refuse = true
	got = full.ask(t, requestText("GET", "/safe/", "1", ""))
	must.Eq(t, 503, got.status)
	must.Eq(t, "0.250", got.header.Get("Retry-After"))
}

func TestRequestsOfOneConnectionAreAnsweredInOrder(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		return say(conn, whole(request, request.URL.Path))
	})
	w := newWorld(t, rules(), e)
	conn, reader := w.dial(t)
	must.True(t, say(conn, requestText("POST", "/safe/1", "1", "x")+requestText("POST", "/unsafe/2", "2", "y")+requestText("GET", "/safe/3", "3", "")))
	for _, want := range []string{"/safe/1", "/unsafe/2", "/safe/3"} {
		got := readAnswer(reader)
		must.NoError(t, got.err)
		must.Eq(t, want, got.body)
	}
	must.Len(t, 3, e.requests())
}

func TestTimeoutEndsWithAFinalAnswer(t *testing.T) {
	silent := newEndpoint(t, func(conn net.Conn, _ int, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1)) // Ends when the router gives up.
		return false
	})
	w := newWorld(t, rules(), silent)
	began := time.Now()
	got := w.ask(t, strings.Replace(requestText("POST", "/unsafe/a", "1", "x"), "Key: k", "Key: k\r\nWait: 300ms", 1))
	must.Eq(t, 504, got.status)
	must.Less(t, 900*time.Millisecond, time.Since(began))
	w.idle(t)
}

func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	ended := make(chan struct{})
	e := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		say(conn, streamHead(request)+chunk(eventText(1)))
		_, _ = conn.Read(make([]byte, 1))
		close(ended)
		return false
	})
	w := newWorld(t, rules(), e)
	conn, reader := w.dial(t)
	must.True(t, say(conn, requestText("POST", "/once/a", "1", "x")))
	_, err := reader.ReadString('\n')
	must.NoError(t, err)
	must.NoError(t, conn.Close())
	select {
	case <-ended:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("the endpoint still works for a caller that has left")
	}
	w.idle(t)
}

// streamOf answers a resumable stream up to an event, then ends as told.
func streamOf(upTo int, partial string, end func(conn net.Conn) bool) behaviour {
	return func(conn net.Conn, _ int, request *http.Request) bool {
		first := 1
		if last := request.Header.Get("Last"); last != "" {
			_, _ = fmt.Sscan(last, &first)
			first++
		}
		say(conn, streamHead(request))
		for id := first; id <= upTo; id++ {
			say(conn, chunk(eventText(id)))
		}
		if partial != "" {
			say(conn, chunk(partial))
		}
		return end(conn)
	}
}

func endWhole(conn net.Conn) bool { return say(conn, "0\r\n\r\n") }

func endSilent(conn net.Conn) bool {
	_, _ = conn.Read(make([]byte, 1))
	return false
}

func TestStreamsGoOnAtAnotherEndpoint(t *testing.T) {
	cases := []struct {
		name  string
		first behaviour
	}{
		{"reset between events", streamOf(3, "", reset)},
		{"reset inside an event", streamOf(3, "id: 4\nda", reset)},
		{"closed inside an event", streamOf(3, "id: 4\nda", func(net.Conn) bool { return false })},
		{"ended as whole inside an event", streamOf(3, "id: 4\nda", endWhole)},
		{"silent", streamOf(3, "", endSilent)},
		{"silent before the first event", streamOf(0, "", endSilent)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			second := newEndpoint(t, streamOf(6, "", endWhole))
			w := newWorld(t, rules(), newEndpoint(t, c.first), second)
			got := w.ask(t, requestText("POST", "/stream/a", "1", "x"))
			must.NoError(t, got.err)
			var want strings.Builder
			for id := 1; id <= 6; id++ {
				want.WriteString(eventText(id))
			}
			must.Eq(t, lines(want.String()), lines(got.body))
			must.Eq(t, "e0", got.header.Get("Signature"))
			must.Len(t, 1, second.requests())
			w.idle(t)
		})
	}
}

// TestStreamsThatCannotGoOnDoNotLookWhole cuts the caller's connection.
func TestStreamsThatCannotGoOnDoNotLookWhole(t *testing.T) {
	cases := []struct {
		name   string
		target string
		first  behaviour
		second behaviour
	}{
		{"not resumable", "/once/a", streamOf(3, "", reset), streamOf(6, "", endWhole)},
		{"both endpoints fail", "/stream/a", streamOf(3, "", reset), streamOf(4, "", reset)},
		{"the second answers with a failure", "/stream/a", streamOf(3, "", reset), failing},
		{"the second begins behind a gap", "/stream/a", streamOf(3, "", reset), func(conn net.Conn, _ int, request *http.Request) bool {
			return say(conn, streamHead(request)+chunk(eventText(9))+"0\r\n\r\n")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, rules(), newEndpoint(t, c.first), newEndpoint(t, c.second))
			got := w.ask(t, requestText("POST", c.target, "1", "x"))
			must.Error(t, got.err)
			must.StrHasPrefix(t, eventText(1)+eventText(2)+eventText(3), got.body)
			w.idle(t)
		})
	}
}

func TestDrainFinishesWhatIsInProgress(t *testing.T) {
	release := make(chan struct{})
	e := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		if request.URL.Path == "/stream/slow" {
			say(conn, streamHead(request)+chunk(eventText(1)))
			<-release
			say(conn, chunk(eventText(2)))
			return endWhole(conn)
		}
		return say(conn, whole(request, "hello"))
	})
	set := rules()
	set.Rules[2].TargetGap = time.Minute
	set.Rules[2].Timeout = time.Minute
	w := newWorld(t, set, e)
	conn, reader := w.dial(t)
	must.True(t, say(conn, requestText("POST", "/stream/slow", "1", "x")))
	_, err := reader.Peek(1)
	must.NoError(t, err)
	drained := make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	drainInBackground(ctx, w, drained)

	// What comes while the platform does not know yet is answered, as the last of its connection.
	early := w.ask(t, requestText("GET", "/safe/a", "2", ""))
	must.Eq(t, 200, early.status)
	must.True(t, early.last)

	time.Sleep(2700 * time.Millisecond)
	lateAnswer := w.ask(t, requestText("GET", "/safe/a", "3", ""))
	must.Eq(t, 503, lateAnswer.status)
	close(release)
	got := readAnswer(reader)
	must.NoError(t, got.err)
	must.Eq(t, eventText(1)+eventText(2), got.body)

	// The head of that answer did not end its connection: a request that follows is answered.
	if say(conn, requestText("GET", "/safe/a", "4", "")) {
		next := readAnswer(reader)
		must.True(t, next.err != nil || next.status == 503)
	}
	<-drained
}

func drainInBackground(ctx context.Context, w *world, drained chan<- struct{}) {
	go func() {
		w.server.Drain(ctx)
		close(drained)
	}()
}

func TestSlowHeadEndsItsConnection(t *testing.T) {
	w := newWorld(t, rules(), newEndpoint(t, answering("hello")))
	conn, reader := w.dial(t)
	must.True(t, say(conn, "GET /safe/a HT"))
	_, err := reader.ReadByte()
	must.Error(t, err)
	must.NoError(t, conn.Close())
}

func TestExpectContinue(t *testing.T) {
	w := newWorld(t, rules(), newEndpoint(t, answering("hello")))
	conn, reader := w.dial(t)
	must.True(t, say(conn, "POST /safe/a HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"))
	first, err := http.ReadResponse(reader, nil)
	must.NoError(t, err)
	must.Eq(t, 100, first.StatusCode)
	must.True(t, say(conn, "ab"))
	must.Eq(t, "hello", readAnswer(reader).body)
}

func TestConnectionsToEndpointsAreUsedAgain(t *testing.T) {
	connections := make(map[net.Conn]bool)
	e := newEndpoint(t, func(conn net.Conn, number int, request *http.Request) bool {
		connections[conn] = true
		if number == 3 {
			return say(conn, strings.Replace(whole(request, "hello"), "Signature", "Connection: close\r\nSignature", 1))
		}
		return say(conn, whole(request, "hello"))
	})
	w := newWorld(t, rules(), e)
	conn, reader := w.dial(t)
	for i := range 5 {
		must.True(t, say(conn, requestText("GET", "/safe/a", fmt.Sprint(i), "")))
		must.Eq(t, 200, readAnswer(reader).status)
	}
	must.MapLen(t, 2, connections)
}

var _ chicoryhall.Dialect = plainDialect{}

// TestLogsHowTheCallerLeft shows that the log tells a reset from a close in order.
func TestLogsHowTheCallerLeft(t *testing.T) {
	cases := []struct {
		name  string
		leave func(conn net.Conn)
		word  string
	}{
		{"reset", func(conn net.Conn) { reset(conn) }, "reset by peer"},
		{"closed", func(net.Conn) {}, "EOF"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			asked := make(chan struct{})
			w := newWorld(t, rules(), newEndpoint(t, func(net.Conn, int, *http.Request) bool {
				close(asked)
				return true
			}))
			conn, _ := w.dial(t)
			must.True(t, say(conn, requestText("POST", "/unsafe/a", "left", "x")))
			<-asked
			c.leave(conn)
			must.NoError(t, conn.Close())
			w.logs.await(t, "event=2044", "request=left", c.word)
			w.idle(t)
		})
	}
}
