package http1_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall/http1"
)

// collector records the requests that a reader delivers.
type collector struct {
	reader       *http1.Reader[*http.Request]
	pause        bool
	requestLines []string
	bodies       []string
	body         string
}

func (c *collector) OnHead(head *http.Request) error {
	c.requestLines = append(c.requestLines, head.Method+" "+head.RequestURI)
	c.body = ""
	return nil
}

func (c *collector) OnBody(piece []byte) error {
	c.body += string(piece)
	return nil
}

func (c *collector) OnEnd() error {
	c.bodies = append(c.bodies, c.body)
	if c.pause {
		c.reader.Pause()
	}
	return nil
}

func newCollector(limits http1.Limits) *collector {
	c := &collector{}
	c.reader = http1.NewRequestReader(c, limits)
	return c
}

const twoRequests = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello" +
	"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n"

// TestAnySplitReadsTheSame feeds two requests in pieces of random size.
func TestAnySplitReadsTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCollector(http1.Limits{Head: 1024, Body: 1024})
		left := twoRequests
		for left != "" {
			n := rapid.IntRange(1, len(left)).Draw(t, "bytes")
			must.NoError(t, c.reader.Feed([]byte(left[:n])))
			left = left[n:]
		}
		must.Eq(t, []string{"POST /a", "POST /b"}, c.requestLines)
		must.Eq(t, []string{"hello", "abcde"}, c.bodies)
		must.True(t, c.reader.AtBoundary())
	})
}

func TestInvalidRequests(t *testing.T) {
	const head = "POST /a HTTP/1.1\r\nHost: h\r\n"
	cases := []struct {
		name  string
		bytes string
		// want is nil if any error is expected.
		want error
	}{
		{"two lengths", head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", nil},
		{"two equal lengths", head + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", nil},
		{"length and chunks", head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", nil},
		{"unknown encoding", head + "Transfer-Encoding: gzip\r\n\r\n", nil},
		{"space before the colon", head + "Content-Length : 1\r\n\r\na", nil},
		{"folded field", head + "A: b\r\n c\r\n\r\n", nil},
		{"bare line feed", head + "A: b\nContent-Length: 1\r\n\r\na", nil},
		{"negative length", head + "Content-Length: -1\r\n\r\n", nil},
		{"signed chunk size", head + "Transfer-Encoding: chunked\r\n\r\n+1\r\na\r\n0\r\n\r\n", nil},
		{"chunk without its end", head + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", nil},
		{"empty chunk size", head + "Transfer-Encoding: chunked\r\n\r\n\r\n", nil},
		{"long chunk line", head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 4096), nil},
		{"not HTTP", "\x16\x03\x01\r\n\r\n", nil},
		{"large head", "GET /" + strings.Repeat("a", 300) + " HTTP/1.1\r\nHost: h\r\n\r\n", http1.ErrHeadTooLarge},
		{"large head without its end", "GET /" + strings.Repeat("a", 300), http1.ErrHeadTooLarge},
		{"large body", head + "Content-Length: 65\r\n\r\n", http1.ErrBodyTooLarge},
		{"large chunked body", head + "Transfer-Encoding: chunked\r\n\r\n41\r\n" + strings.Repeat("a", 65), http1.ErrBodyTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			collected := newCollector(http1.Limits{Head: 200, Body: 64})
			err := collected.reader.Feed([]byte(c.bytes))
			must.Error(t, err)
			if c.want != nil {
				must.True(t, errors.Is(err, c.want))
			}
			must.SliceEmpty(t, collected.bodies)
		})
	}
}

func TestPauseKeepsLaterRequests(t *testing.T) {
	c := newCollector(http1.Limits{Head: 1024, Body: 1024})
	c.pause = true
	must.NoError(t, c.reader.Feed([]byte(twoRequests)))
	must.Eq(t, []string{"POST /a"}, c.requestLines)
	must.False(t, c.reader.AtBoundary())
	must.NoError(t, c.reader.Resume())
	must.Eq(t, []string{"POST /a", "POST /b"}, c.requestLines)
	must.Eq(t, 0, c.reader.Buffered())
}

// answerCollector records the answers that a reader delivers.
type answerCollector struct {
	statuses []int
	body     string
	complete int
}

func (a *answerCollector) OnHead(head *http.Response) error {
	a.statuses = append(a.statuses, head.StatusCode)
	return nil
}

func (a *answerCollector) OnBody(piece []byte) error {
	a.body += string(piece)
	return nil
}

func (a *answerCollector) OnEnd() error {
	a.complete++
	return nil
}

func TestAnswers(t *testing.T) {
	cases := []struct {
		name     string
		method   string
		bytes    string
		body     string
		complete int
		// afterEnd is the number of complete answers after an orderly end of the connection.
		afterEnd   int
		incomplete bool
	}{
		{"length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "ab", 1, 1, false},
		{"incomplete", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", "ab", 0, 0, true},
		{"incomplete chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", "ab", 0, 0, true},
		{"until the end", "GET", "HTTP/1.1 200 OK\r\n\r\nab", "ab", 0, 1, false},
		{"no body for HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "", 1, 1, false},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", "", 1, 1, false},
		{"incomplete head", "GET", "HTTP/1.1 200 OK\r\nConte", "", 0, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := &answerCollector{}
			reader := http1.NewResponseReader(got, func() string { return c.method }, http1.Limits{Head: 1024})
			must.NoError(t, reader.Feed([]byte(c.bytes)))
			must.Eq(t, c.body, got.body)
			must.Eq(t, c.complete, got.complete)
			err := reader.End()
			must.Eq(t, c.incomplete, errors.Is(err, http1.ErrIncomplete))
			must.Eq(t, c.afterEnd, got.complete)
		})
	}
}

func TestAppendHeads(t *testing.T) {
	header := http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Transfer-Encoding": {"chunked"},
		"Content-Length": {"9"}, "A": {"b"}, "Bad": {"c\r\nd: e"},
	}
	kept := http1.EndToEndFields(header)
	must.Eq(t, http.Header{"A": {"b"}, "Bad": {"c\r\nd: e"}}, kept)
	must.Eq(t, "POST /x?y HTTP/1.1\r\nHost: h\r\nA: b\r\nContent-Length: 0\r\n\r\n",
		string(http1.AppendRequestHead(nil, "POST", "/x?y", "h", kept, 0)))
	must.Eq(t, "HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n",
		string(http1.AppendResponseHead(nil, 200, kept, http1.FramingChunked, 0, true)))
	must.Eq(t, "2\r\nab\r\n0\r\n\r\n", string(http1.AppendLastChunk(http1.AppendChunk(http1.AppendChunk(nil, []byte("ab")), nil))))
}

// FuzzRequests feeds arbitrary bytes at once and in two pieces. The reader must not panic, and unless there is
// an error, both ways must give the same bodies.
func FuzzRequests(f *testing.F) {
	f.Add([]byte(twoRequests), 7)
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, data []byte, split int) {
		limits := http1.Limits{Head: 512, Body: 512}
		one, two := newCollector(limits), newCollector(limits)
		errOne := one.reader.Feed(data)
		split = max(0, min(len(data), split))
		errTwo := two.reader.Feed(data[:split])
		if errTwo == nil {
			errTwo = two.reader.Feed(data[split:])
		}
		if errOne == nil && errTwo == nil {
			must.Eq(t, one.bodies, two.bodies)
		}
	})
}

// TestChunkSizesReadTheSame guards against a chunk whose size is read differently by the fast way for plain lines: a body of 10 or 26 bytes
// is read whatever the line looks like.
func TestChunkSizesReadTheSame(t *testing.T) {
	for line, size := range map[string]int{"a": 10, "A": 10, "0000000a": 10, "00000000000a": 10, "a ": 10, "a;x": 10, "1a": 26, "1A\t": 26} {
		c := newCollector(http1.Limits{Head: 1024, Body: 1024})
		body := strings.Repeat("b", size)
		must.NoError(t, c.reader.Feed([]byte("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+line+"\r\n"+body+"\r\n0\r\n\r\n")), must.Sprint(line))
		must.Eq(t, []string{body}, c.bodies)
	}
}

// TestAnswersWithTooManyFieldsAreRejected guards against heads whose fields take many times the memory of their text.
func TestAnswersWithTooManyFieldsAreRejected(t *testing.T) {
	for _, c := range []struct {
		fields  int
		isValid bool
	}{{0, true}, {512, true}, {513, false}, {10_000, false}} {
		reader := http1.NewResponseReader(&answerCollector{}, func() string { return http.MethodGet }, http1.Limits{Head: 64 << 10})
		err := reader.Feed([]byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", c.fields) + "\r\n"))
		must.Eq(t, c.isValid, err == nil, must.Sprint(c.fields))
	}
}
