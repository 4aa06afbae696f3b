package proof

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// soakKind is a kind of request that the soak test sends: a stream, a request to a plain service that is not idempotent
// ("unsafe"), or one that is ("safe").
type soakKind struct {
	name string
	// tokens is the number of tokens of the answer, which is sent in events of three tokens.
	tokens  int
	timeout time.Duration
}

var soakKinds = []soakKind{{"stream", 60, 8 * time.Second}, {"unsafe", 0, 2 * time.Second}, {"safe", 0, 2 * time.Second}}

// soakResult is what a caller received for one request.
type soakResult struct {
	id   string
	kind soakKind
	// daemon is the name of the daemon that the request was sent to.
	daemon string
	sentAt time.Time
	took   time.Duration
	// status is 0 if no complete response header was received. err is set if the response is incomplete.
	status int
	body   string
	err    error
	// hasRetryAfter is set if a refusal stated when to retry.
	hasRetryAfter bool
	// longestGap is the longest time without any byte of the response, from sentAt on.
	longestGap time.Duration
}

// gapReader measures the longest time between two reads that return something.
type gapReader struct {
	source  io.Reader
	last    time.Time
	longest time.Duration
}

// Read reads from the source.
func (r *gapReader) Read(into []byte) (int, error) {
	n, err := r.source.Read(into)
	now := time.Now()
	r.longest, r.last = max(r.longest, now.Sub(r.last)), now
	return n, err
}

// expectedBody returns the complete text of the request's answer.
func (r *soakResult) expectedBody() string {
	if r.kind.tokens == 0 {
		return "answer to " + r.id
	}
	var text strings.Builder
	for number := 1; number <= r.kind.tokens/3; number++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s/%d\n\n", number, r.id, number)
	}
	return text.String()
}

// soakCaller sends requests one after another, and reuses its connection for as long as it works.
type soakCaller struct {
	platform *soakPlatform
	name     string
	random   *rand.Rand
	// daemon is the name of the daemon that conn leads to.
	daemon  string
	conn    net.Conn
	reader  *bufio.Reader
	results []soakResult
	// bodyOf returns the body of the request with the given ID.
	bodyOf func(id string) string
	// partsOf returns the list of the parts of the prompt of the request with the given ID, or is nil if requests name none.
	partsOf func(id string) string
	// kinds are those that run chooses from.
	kinds []soakKind
	// repeats is how often run sends a request again that failed, with another ID.
	repeats int
}

// repeatMark separates the ID of a request from the number of the repeat.
const repeatMark = "r"

// bodyOfFirst returns a body of its own for each request, the same in each repeat.
func bodyOfFirst(id string) string {
	first, _, _ := strings.Cut(id, repeatMark)
	return ownBody(first)
}

// sameBody and ownBody are the values of bodyOf for requests with equal and with different bodies.
func sameBody(string) string   { return "body" }
func ownBody(id string) string { return "body of " + id }

// run sends requests until end is closed. It waits for each answer until some time after the request's timeout.
func (c *soakCaller) run(end <-chan struct{}) {
	for number := 0; ; number++ {
		select {
		case <-end:
			c.disconnect()
			return
		case <-time.After(time.Duration(c.random.IntN(60)) * time.Millisecond):
		}
		c.send(fmt.Sprintf("%s-%d", c.name, number))
	}
}

func (c *soakCaller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to a random daemon unless there is one already, and reports whether there is one then.
func (c *soakCaller) connect() bool {
	if c.conn != nil {
		return true
	}
	d := c.platform.daemons[c.random.IntN(len(c.platform.daemons))]
	conn, err := net.DialTimeout("tcp", d.callers, time.Second)
	if err != nil {
		return false
	}
	c.daemon = d.name
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// send sends one request of a random kind on the open connection, or on a new one if there is none.
func (c *soakCaller) send(id string) {
	if !c.connect() {
		return
	}
	kind := c.kinds[c.random.IntN(len(c.kinds))]
	c.sendKind(id, kind)
	for repeat := 1; repeat <= c.repeats && c.mayRepeat(); repeat++ {
		c.disconnect()
		time.Sleep(time.Duration(50+c.random.IntN(100)) * time.Millisecond)
		if c.connect() {
			c.sendKind(fmt.Sprintf("%s%s%d", id, repeatMark, repeat), kind)
		}
	}
}

// mayRepeat reports whether the last request was not answered and may run again.
func (c *soakCaller) mayRepeat() bool {
	last := &c.results[len(c.results)-1]
	return last.status != http.StatusOK && (last.kind.name == safeKind.name || last.status == http.StatusServiceUnavailable)
}

// sendKind sends one request on the open connection.
func (c *soakCaller) sendKind(id string, kind soakKind) {
	body := c.bodyOf(id)
	result := soakResult{id: id, kind: kind, daemon: c.daemon, sentAt: time.Now()}
	parts := ""
	if c.partsOf != nil {
		parts = "Prompt-Prefix: " + c.partsOf(id) + "\r\n"
	}
	text := fmt.Sprintf("POST /%s/a HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nApi-Key: k\r\nDeadline-Ms: %d\r\nToken-Count: 100,%d\r\n%sContent-Length: %d\r\n\r\n%s",
		kind.name, id, kind.timeout.Milliseconds(), kind.tokens, parts, len(body), body)
	_ = c.conn.SetDeadline(time.Now().Add(kind.timeout + 4*time.Second)) // An error would also occur in the write.
	isLast := true
	if _, err := io.WriteString(c.conn, text); err != nil {
		result.err = err
	} else {
		isLast = c.read(&result)
	}
	result.took = time.Since(result.sentAt)
	c.results = append(c.results, result)
	if isLast || result.err != nil {
		c.disconnect()
	}
}

// read reads the response and reports whether the connection is closed after it.
func (c *soakCaller) read(result *soakResult) bool {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		result.err = err
		return true
	}
	result.status = response.StatusCode
	result.hasRetryAfter = response.Header.Get("Retry-After") != ""
	reader := &gapReader{source: response.Body, last: result.sentAt}
	body, err := io.ReadAll(reader)
	result.body, result.err, result.longestGap = string(body), err, reader.longest
	return response.Close
}

// callers are the callers of a soak test.
type callers struct {
	all  []*soakCaller
	end  chan struct{}
	done sync.WaitGroup
}

func startCallers(w *soakPlatform, count int, seed uint64, bodyOf func(string) string) *callers {
	return startCallersOfKinds(w, count, seed, bodyOf, soakKinds)
}

// startCallersOfKinds starts callers that choose from the given kinds.
func startCallersOfKinds(w *soakPlatform, count int, seed uint64, bodyOf func(string) string, kinds []soakKind) *callers {
	cs := &callers{end: make(chan struct{})}
	for i := range count {
		cs.start(&soakCaller{
			platform: w, name: fmt.Sprintf("c%d", i), random: rand.New(rand.NewPCG(seed, uint64(i))), bodyOf: bodyOf, kinds: kinds,
		})
	}
	return cs
}

// startRepeating starts callers of plain services that send again what failed.
func startRepeating(w *soakPlatform, count int, seed uint64) *callers {
	cs := &callers{end: make(chan struct{})}
	for i := range count {
		cs.start(&soakCaller{
			platform: w, name: fmt.Sprintf("c%d", i), random: rand.New(rand.NewPCG(seed, uint64(i))), bodyOf: bodyOfFirst,
			kinds: []soakKind{unsafeKind, safeKind}, repeats: 3,
		})
	}
	return cs
}

// startCallersOf starts callers that send requests of one kind only, each with a body of its own.
func startCallersOf(w *soakPlatform, count int, kind soakKind) *callers {
	cs := &callers{end: make(chan struct{})}
	for i := range count {
		cs.start(&soakCaller{
			platform: w, name: fmt.Sprintf("c%d", i), random: rand.New(rand.NewPCG(1, uint64(i))), bodyOf: ownBody, kinds: []soakKind{kind},
		})
	}
	return cs
}

// start makes a caller send requests until the callers are stopped.
func (cs *callers) start(c *soakCaller) {
	cs.all = append(cs.all, c)
	cs.done.Go(func() { c.run(cs.end) })
}

// stop stops the callers and returns their results.
func (cs *callers) stop() []soakResult {
	close(cs.end)
	cs.done.Wait()
	var results []soakResult
	for _, c := range cs.all {
		results = append(results, c.results...)
	}
	return results
}
