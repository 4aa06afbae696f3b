package passthrough_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/relay"
)

// brokenOff returns a responder that sends the head and the first two events of a stream, and then resets the connection.
func brokenOff(event func(id int) string) responder {
	return func(conn net.Conn, _ int, request *http.Request) bool {
		if request.Header.Get("Last") != "" {
			return false
		}
		send(conn, streamHead(request)+chunk(event(1))+chunk(event(2)))
		return reset(conn)
	}
}

// headOf returns the head of an answer with a status line and fields, to which those that each answer has are added.
func headOf(request *http.Request, status, fields string) string {
	return "HTTP/1.1 " + status + "\r\nId: " + request.Header.Get("Id") + "\r\nSignature: s\r\n" + fields
}

// withBody returns a responder that sends an answer whose body has a length, comes in chunks, or ends with the connection.
func withBody(framing, status, fields, body string) responder {
	return func(conn net.Conn, _ int, request *http.Request) bool {
		switch framing {
		case "a length":
			return send(conn, headOf(request, status, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)))
		case "chunks":
			text := headOf(request, status, fields+"Transfer-Encoding: chunked\r\n\r\n")
			if body != "" {
				text += chunk(body)
			}
			return send(conn, text+"0\r\n\r\n")
		default:
			send(conn, headOf(request, status, fields+"\r\n"+body))
			return false
		}
	}
}

// noContinuations are answers to a request to resume a stream after event 2 that do not continue it.
var noContinuations = []struct{ name, status, fields, body string }{
	{"400", "400 Bad Request", "", "bad request"},
	{"404", "404 Not Found", "", "not found"},
	{"408", "408 Request Timeout", "", "timeout"},
	{"421", "421 Misdirected Request", "", "misdirected"},
	{"429", "429 Too Many Requests", "", "too many"},
	{"500", "500 Internal Server Error", "", "internal error"},
	{"500 as a stream", "500 Internal Server Error", eventStream, eventText(3) + eventText(4)},
	{"503", "503 Service Unavailable", "", "unavailable"},
	{"503 as a stream", "503 Service Unavailable", eventStream, eventText(3) + eventText(4)},
	{"503 that did not run", "503 Service Unavailable", "Not-Run: 1\r\n", "full"},
	{"200 that did not run", "200 OK", "Not-Run: 1\r\n" + eventStream, eventText(3) + eventText(4)},
	{"302", "302 Found", "Location: /\r\n", "elsewhere"},
	{"a success of another type", "200 OK", "Content-Type: application/json\r\n", `{"text":"d3"}`},
	{"a success without a type", "200 OK", "", eventText(3) + eventText(4)},
	{"an empty success", "200 OK", "", ""},
	{"an empty stream", "200 OK", eventStream, ""},
	{"a stream that ends before it was to go on", "200 OK", eventStream, eventText(1)},
	{"a stream without IDs", "200 OK", eventStream, "data: d3\n\ndata: d4\n\n"},
	{"a stream that begins without IDs", "200 OK", eventStream, "data: d1\n\n" + eventText(3)},
	{"a stream with a gap", "200 OK", eventStream, eventText(4)},
	{"a comment", "200 OK", eventStream, ": nothing\n\n"},
	{"an error that is too long", "500 Internal Server Error", "", strings.Repeat("x", 2<<20)},
	{"a success of another type that is too long", "200 OK", "", strings.Repeat("x", 2<<20)},
}

const eventStream = "Content-Type: text/event-stream\r\n"

// TestBrokenStreamIsNotCompletedByAnError guards against a stream that goes on with what is not its continuation, or that looks
// complete after it (ORDER, MIXED): its caller gets the events so far, and sees that they are not all.
func TestBrokenStreamIsNotCompletedByAnError(t *testing.T) {
	for _, c := range noContinuations {
		for _, framing := range []string{"a length", "chunks", "the connection"} {
			t.Run(c.name+", with "+framing, func(t *testing.T) {
				second := newEndpoint(t, withBody(framing, c.status, c.fields, c.body))
				w := startServer(t, testRules(), newEndpoint(t, brokenOff(eventText)), second)
				got := w.ask(t, requestText("POST", "/stream/a", "1", "x"))
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, eventText(1)+eventText(2), got.body)
				must.Error(t, got.err)
				must.Len(t, 1, second.requests())
				must.Eq(t, "2", second.requests()[0].Header.Get("Last"))
			})
		}
	}
}

// TestBrokenStreamIsNotCompletedByADaemon is TestBrokenStreamIsNotCompletedByAnError with another daemon in place of the second
// endpoint, which passes on the answer or gives its own.
func TestBrokenStreamIsNotCompletedByADaemon(t *testing.T) {
	owns := []struct {
		status int
		reply  relay.Reply
	}{{503, relay.ReplyLoad}, {503, relay.ReplyUnable}, {502, relay.ReplyUnknown}, {504, relay.ReplyUnknown}, {404, relay.ReplyNone}}
	for _, c := range owns {
		t.Run(fmt.Sprint("own ", c.status, " ", c.reply), func(t *testing.T) {
			checkBrokenAtDaemon(t, own(c.status, c.reply, ""))
		})
	}
	for _, c := range noContinuations {
		if c.status == "421 Misdirected Request" || strings.HasSuffix(c.name, "did not run") {
			continue // A daemon passes on no refusal.
		}
		t.Run("passed on: "+c.name, func(t *testing.T) {
			checkBrokenAtDaemon(t, withBody("a length", c.status, c.fields, c.body))
		})
	}
}

// checkBrokenAtDaemon lets a stream break off and go on at another daemon, which answers with a responder.
func checkBrokenAtDaemon(t *testing.T, respond responder) {
	t.Helper()
	w := startServer(t, testRules(), newEndpoint(t, brokenOff(eventText)))
	w.relays.lacksRoute, w.relays.peers = true, []relay.Peer{peerAt("peer", newEndpoint(t, respond))}
	got := w.ask(t, requestText("POST", "/stream/a", "1", "x"))
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, eventText(1)+eventText(2), got.body)
	must.Error(t, got.err)
}

// TestStreamWithoutIDsIsNotResumed guards against events that come twice: nobody can say where a stream without IDs goes on.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	event := func(id int) string { return fmt.Sprintf("data: d%d\n\n", id) }
	second := newEndpoint(t, answerEvents(event, 4))
	w := startServer(t, testRules(), newEndpoint(t, brokenOff(event)), second)
	got := w.ask(t, requestText("POST", "/stream/a", "1", "x"))
	must.Eq(t, event(1)+event(2), got.body)
	must.Error(t, got.err)
	must.Len(t, 0, second.requests())
}

// answerEvents returns a responder that answers with the events up to one.
func answerEvents(event func(id int) string, upTo int) responder {
	return func(conn net.Conn, _ int, request *http.Request) bool {
		text := streamHead(request)
		for id := 1; id <= upTo; id++ {
			text += chunk(event(id))
		}
		return send(conn, text+"0\r\n\r\n")
	}
}

// TestStreamThatStartsAnewGoesOn checks that a stream which begins again goes on for its caller, without the events that it has,
// also if these are all.
func TestStreamThatStartsAnewGoesOn(t *testing.T) {
	for _, events := range []int{2, 4} {
		w := startServer(t, testRules(), newEndpoint(t, brokenOff(eventText)), newEndpoint(t, answerEvents(eventText, events)))
		got := w.ask(t, requestText("POST", "/stream/a", "1", "x"))
		must.NoError(t, got.err)
		want := ""
		for id := 1; id <= events; id++ {
			want += eventText(id)
		}
		must.Eq(t, want, got.body)
	}
}

// TestLongAnswerThatBreaksOffIsCut checks that an answer which is no stream, and of which its caller has got a part, ends at once
// when it breaks off: no other endpoint can go on with it.
func TestLongAnswerThatBreaksOffIsCut(t *testing.T) {
	second := newEndpoint(t, answerWith("second"))
	w := startServer(t, testRules(), newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		send(conn, headOf(request, "200 OK", "Content-Length: 4194304\r\n\r\n")+strings.Repeat("x", 3<<20))
		return false
	}), second)
	got := w.ask(t, requestText("POST", "/safe/a", "1", "x"))
	must.Eq(t, http.StatusOK, got.status)
	must.Error(t, got.err)
	must.Eq(t, "", strings.Trim(got.body, "x"))
	must.Len(t, 0, second.requests())
}

// TestCutIsSeenWithoutChunks checks that a caller of HTTP/1.0, whose answer ends with its connection, sees a cut as a reset.
func TestCutIsSeenWithoutChunks(t *testing.T) {
	w := startServer(t, testRules(), newEndpoint(t, brokenOff(eventText)))
	conn, reader := w.dial(t)
	must.True(t, send(conn, "POST /stream/a HTTP/1.0\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: 1\r\n\r\nx"))
	got := readAnswer(reader)
	must.Error(t, got.err)
}

// TestStreamWhoseIDsHaveGapsIsResumed guards against the loss of a stream whose IDs ascend with gaps, as they may.
func TestStreamWhoseIDsHaveGapsIsResumed(t *testing.T) {
	event := func(id int) string { return fmt.Sprintf("id: %d\ndata: d%d\n\n", 10*id, id) }
	second := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		return request.Header.Get("Last") == "20" && send(conn, streamHead(request)+chunk(event(3))+chunk(event(4))+"0\r\n\r\n")
	})
	w := startServer(t, testRules(), newEndpoint(t, brokenOff(event)), second)
	got := w.ask(t, requestText("POST", "/stream/a", "1", "x"))
	must.NoError(t, got.err)
	must.Eq(t, event(1)+event(2)+event(3)+event(4), got.body)
}
