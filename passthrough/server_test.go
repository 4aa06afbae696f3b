package passthrough_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
)

func answerWith(body string) responder {
	return func(conn net.Conn, _ int, request *http.Request) bool { return send(conn, wholeAnswer(request, body)) }
}

func answerNotRun(conn net.Conn, _ int, request *http.Request) bool {
	return send(conn, fmt.Sprintf("HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id")))
}

func answerFailure(conn net.Conn, _ int, request *http.Request) bool {
	return send(conn, fmt.Sprintf("HTTP/1.1 500 Bad\r\nId: %s\r\nSignature: s\r\nContent-Length: 3\r\n\r\nbad", request.Header.Get("Id")))
}

func answerUnavailable(conn net.Conn, _ int, request *http.Request) bool {
	return send(conn, fmt.Sprintf("HTTP/1.1 503 Busy\r\nId: %s\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id")))
}

func cutBody(conn net.Conn, _ int, request *http.Request) bool {
	send(conn, strings.Replace(wholeAnswer(request, "hello"), "hello", "he", 1))
	return false
}

func withoutLength(conn net.Conn, _ int, request *http.Request) bool {
	send(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n\r\nhello", request.Header.Get("Id")))
	return false
}

func resetWithoutLength(conn net.Conn, number int, request *http.Request) bool {
	withoutLength(conn, number, request)
	time.Sleep(20 * time.Millisecond)
	return reset(conn)
}

func closeAtOnce(net.Conn, int, *http.Request) bool { return false }

func garbage(conn net.Conn, _ int, _ *http.Request) bool { return send(conn, "0123456789\r\n\r\n") }

func unsigned(conn net.Conn, _ int, request *http.Request) bool {
	return send(conn, strings.Replace(wholeAnswer(request, "hello"), "Signature: s\r\n", "", 1))
}

func twoAnswers(conn net.Conn, _ int, request *http.Request) bool {
	return send(conn, wholeAnswer(request, "hello")+wholeAnswer(request, "again"))
}

func staleAnswerFirst(conn net.Conn, _ int, request *http.Request) bool {
	other := &http.Request{Header: http.Header{"Id": {"other"}}}
	return send(conn, wholeAnswer(other, "foreign")+wholeAnswer(request, "hello"))
}

// TestAnswersAndFailures checks what a caller gets for each behaviour of the first endpoint. The second
// endpoint answers "second".
func TestAnswersAndFailures(t *testing.T) {
	cases := []struct {
		name   string
		target string
		first  responder
		status int
		body   string
		// secondRequests is the number of requests that the second endpoint gets.
		secondRequests int
	}{
		{"whole", "/unsafe/a", answerWith("hello"), 200, "hello", 0},
		{"refused", "/unsafe/a", answerNotRun, 200, "second", 1},
		{"unsafe, endpoint answers with an error", "/unsafe/a", answerFailure, 500, "bad", 0},
		{"safe, endpoint answers with an error", "/safe/a", answerFailure, 200, "second", 1},
		{"a refusal that does not say that nothing ran", "/unsafe/a", answerUnavailable, 502, "", 0},
		{"unsafe, cut", "/unsafe/a", cutBody, 502, "", 0},
		{"safe, cut", "/safe/a", cutBody, 200, "second", 1},
		{"until the end of the connection", "/unsafe/a", withoutLength, 200, "hello", 0},
		{"reset without a length", "/unsafe/a", resetWithoutLength, 502, "", 0},
		{"closed without an answer", "/unsafe/a", closeAtOnce, 502, "", 0},
		{"safe, closed without an answer", "/safe/a", closeAtOnce, 200, "second", 1},
		{"bytes that are no answer", "/unsafe/a", garbage, 502, "", 0},
		{"success without a signature", "/unsafe/a", unsigned, 502, "", 0},
		{"bytes after the answer", "/unsafe/a", twoAnswers, 200, "hello", 0},
		{"a late answer to another request", "/unsafe/a", staleAnswerFirst, 200, "hello", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			second := newEndpoint(t, answerWith("second"))
			w := startServer(t, testRules(), newEndpoint(t, c.first), second)
			got := w.ask(t, requestText("POST", c.target, "1", "x"))
			must.NoError(t, got.err)
			must.Eq(t, c.status, got.status)
			if c.body != "" {
				must.Eq(t, c.body, got.body)
			}
			must.Len(t, c.secondRequests, second.requests())
			w.waitIdle(t)
		})
	}
}

// TestRefusalShowsNoProgressOfLaterStages checks which endpoints of a route count as working after an answer.
func TestRefusalShowsNoProgressOfLaterStages(t *testing.T) {
	cases := []struct {
		name    string
		respond responder
		want    []chicoryhall.EndpointID
	}{
		{"refused", answerNotRun, []chicoryhall.EndpointID{"e0"}},
		{"answered", answerWith("hello"), []chicoryhall.EndpointID{"e0", "later"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			router := routerTo(newEndpoint(t, c.respond))
			router.later = []chicoryhall.Hop{{Engine: "later", Address: "127.0.0.1:1"}}
			w := startRoutedServer(t, 0, testRules(), router)
			w.ask(t, requestText("POST", "/unsafe/a", "1", "x"))
			w.waitIdle(t)
			w.endpoints.mu.Lock()
			defer w.endpoints.mu.Unlock()
			must.Eq(t, c.want, w.endpoints.progressed)
		})
	}
}

func TestUnreachableEndpointsAreNotRun(t *testing.T) {
	gone := newEndpoint(t, closeAtOnce)
	must.NoError(t, gone.listener.Close())
	w := startServer(t, testRules(), gone)
	got := w.ask(t, requestText("POST", "/unsafe/a", "1", "x"))
	must.Eq(t, 503, got.status)
	must.NotEq(t, "", got.header.Get("Retry-After"))
	w.waitIdle(t)
}

func TestRetriesEndWithTheBudget(t *testing.T) {
	second := newEndpoint(t, answerWith("second"))
	w := startServer(t, testRules(), newEndpoint(t, cutBody), second)
	w.retries = 0
	got := w.ask(t, requestText("GET", "/safe/a", "1", ""))
	must.Eq(t, 502, got.status)
	must.SliceEmpty(t, second.requests())
}

func TestRequestsAreForwardedUnchanged(t *testing.T) {
	e := newEndpoint(t, answerWith("hello"))
	w := startServer(t, testRules(), e)
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

func TestInvalidRequestsAreRefused(t *testing.T) {
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
		{"not HTTP", "\x16\x03\x01\x02\r\n\r\n", 400, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEndpoint(t, answerWith("hello"))
			w := startServer(t, testRules(), e)
			got := w.ask(t, c.text)
			must.NoError(t, got.err)
			must.Eq(t, c.status, got.status)
			must.SliceEmpty(t, e.requests())
		})
	}
}

func TestRefusalsHaveRetryAfter(t *testing.T) {
	w := startServer(t, nil, newEndpoint(t, answerWith("hello")))
	got := w.ask(t, requestText("GET", "/safe/", "1", ""))
	must.Eq(t, 503, got.status)
	must.Eq(t, "0.500", got.header.Get("Retry-After"))

	full := startServer(t, testRules(), newEndpoint(t, answerWith("hello")))
	full.refuse = true
	got = full.ask(t, requestText("GET", "/safe/", "1", ""))
	must.Eq(t, 503, got.status)
	must.Eq(t, "0.250", got.header.Get("Retry-After"))
}

func TestRequestsOfOneConnectionAreAnsweredInOrder(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		return send(conn, wholeAnswer(request, request.URL.Path))
	})
	w := startServer(t, testRules(), e)
	conn, reader := w.dial(t)
	must.True(t, send(conn, requestText("POST", "/safe/1", "1", "x")+requestText("POST", "/unsafe/2", "2", "y")+requestText("GET", "/safe/3", "3", "")))
	for _, want := range []string{"/safe/1", "/unsafe/2", "/safe/3"} {
		got := readAnswer(reader)
		must.NoError(t, got.err)
		must.Eq(t, want, got.body)
	}
	must.Len(t, 3, e.requests())
}

func TestTimeoutEndsWithAFinalAnswer(t *testing.T) {
	silent := newEndpoint(t, func(conn net.Conn, _ int, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1)) // Returns when the server closes the connection.
		return false
	})
	w := startServer(t, testRules(), silent)
	began := time.Now()
	got := w.ask(t, strings.Replace(requestText("POST", "/unsafe/a", "1", "x"), "Key: k", "Key: k\r\nWait: 300ms", 1))
	must.Eq(t, 504, got.status)
	must.Less(t, 900*time.Millisecond, time.Since(began))
	w.waitIdle(t)
}

func TestCallerDisconnectEndsRequest(t *testing.T) {
	ended := make(chan struct{})
	e := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		send(conn, streamHead(request)+chunk(eventText(1)))
		_, _ = conn.Read(make([]byte, 1))
		close(ended)
		return false
	})
	w := startServer(t, testRules(), e)
	conn, reader := w.dial(t)
	must.True(t, send(conn, requestText("POST", "/once/a", "1", "x")))
	_, err := reader.ReadString('\n')
	must.NoError(t, err)
	must.NoError(t, conn.Close())
	select {
	case <-ended:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("the request still runs at the endpoint after its caller has disconnected")
	}
	w.waitIdle(t)
}

// streamEvents resumes a stream, sends its events up to a number and a partial event, then calls end.
func streamEvents(upTo int, partial string, end func(conn net.Conn) bool) responder {
	return func(conn net.Conn, _ int, request *http.Request) bool {
		first := 1
		if last := request.Header.Get("Last"); last != "" {
			_, _ = fmt.Sscan(last, &first)
			first++
		}
		send(conn, streamHead(request))
		for id := first; id <= upTo; id++ {
			send(conn, chunk(eventText(id)))
		}
		if partial != "" {
			send(conn, chunk(partial))
		}
		return end(conn)
	}
}

func endWhole(conn net.Conn) bool { return send(conn, "0\r\n\r\n") }

func endSilent(conn net.Conn) bool {
	_, _ = conn.Read(make([]byte, 1))
	return false
}

func TestStreamsResumeAtAnotherEndpoint(t *testing.T) {
	cases := []struct {
		name  string
		first responder
	}{
		{"reset between events", streamEvents(3, "", reset)},
		{"reset inside an event", streamEvents(3, "id: 4\nda", reset)},
		{"closed inside an event", streamEvents(3, "id: 4\nda", func(net.Conn) bool { return false })},
		{"last chunk inside an event", streamEvents(3, "id: 4\nda", endWhole)},
		{"silent", streamEvents(3, "", endSilent)},
		{"silent before the first event", streamEvents(0, "", endSilent)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			second := newEndpoint(t, streamEvents(6, "", endWhole))
			w := startServer(t, testRules(), newEndpoint(t, c.first), second)
			got := w.ask(t, requestText("POST", "/stream/a", "1", "x"))
			must.NoError(t, got.err)
			var want strings.Builder
			for id := 1; id <= 6; id++ {
				want.WriteString(eventText(id))
			}
			must.Eq(t, singleLine(want.String()), singleLine(got.body))
			must.Eq(t, "e0", got.header.Get("Signature"))
			must.Len(t, 1, second.requests())
			w.waitIdle(t)
		})
	}
}

// TestStreamsThatCannotResumeAreCutOff checks that a stream that cannot be resumed ends without its last
// chunk, so that the caller doesn't take it for complete.
func TestStreamsThatCannotResumeAreCutOff(t *testing.T) {
	cases := []struct {
		name   string
		target string
		first  responder
		second responder
	}{
		{"not resumable", "/once/a", streamEvents(3, "", reset), streamEvents(6, "", endWhole)},
		{"both endpoints fail", "/stream/a", streamEvents(3, "", reset), streamEvents(4, "", reset)},
		{"the second endpoint answers with an error", "/stream/a", streamEvents(3, "", reset), answerFailure},
		{"the second endpoint leaves a gap", "/stream/a", streamEvents(3, "", reset), func(conn net.Conn, _ int, request *http.Request) bool {
			return send(conn, streamHead(request)+chunk(eventText(9))+"0\r\n\r\n")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := startServer(t, testRules(), newEndpoint(t, c.first), newEndpoint(t, c.second))
			got := w.ask(t, requestText("POST", c.target, "1", "x"))
			must.Error(t, got.err)
			must.StrHasPrefix(t, eventText(1)+eventText(2)+eventText(3), got.body)
			w.waitIdle(t)
		})
	}
}

func TestSlowHeadClosesConnection(t *testing.T) {
	w := startServer(t, testRules(), newEndpoint(t, answerWith("hello")))
	conn, reader := w.dial(t)
	must.True(t, send(conn, "GET /safe/a HT"))
	_, err := reader.ReadByte()
	must.Error(t, err)
	must.NoError(t, conn.Close())
}

func TestExpectContinue(t *testing.T) {
	w := startServer(t, testRules(), newEndpoint(t, answerWith("hello")))
	conn, reader := w.dial(t)
	must.True(t, send(conn, "POST /safe/a HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"))
	first, err := http.ReadResponse(reader, nil)
	must.NoError(t, err)
	must.Eq(t, 100, first.StatusCode)
	must.True(t, send(conn, "ab"))
	must.Eq(t, "hello", readAnswer(reader).body)
}

func TestConnectionsToEndpointsAreReused(t *testing.T) {
	connections := make(map[net.Conn]bool)
	e := newEndpoint(t, func(conn net.Conn, number int, request *http.Request) bool {
		connections[conn] = true
		if number == 3 {
			return send(conn, strings.Replace(wholeAnswer(request, "hello"), "Signature", "Connection: close\r\nSignature", 1))
		}
		return send(conn, wholeAnswer(request, "hello"))
	})
	w := startServer(t, testRules(), e)
	conn, reader := w.dial(t)
	for i := range 5 {
		must.True(t, send(conn, requestText("GET", "/safe/a", fmt.Sprint(i), "")))
		must.Eq(t, 200, readAnswer(reader).status)
	}
	must.MapLen(t, 2, connections)
}

var _ chicoryhall.Dialect = testDialect{}

// TestLogsHowCallerDisconnected checks that the log distinguishes a reset from an orderly close.
func TestLogsHowCallerDisconnected(t *testing.T) {
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
			w := startServer(t, testRules(), newEndpoint(t, func(net.Conn, int, *http.Request) bool {
				close(asked)
				return true
			}))
			conn, _ := w.dial(t)
			must.True(t, send(conn, requestText("POST", "/unsafe/a", "left", "x")))
			<-asked
			c.leave(conn)
			must.NoError(t, conn.Close())
			// 2044 is the number of event.ExchangeAbandoned.
			w.logs.await(t, "event=2044", "request=left", c.word)
			w.waitIdle(t)
		})
	}
}
