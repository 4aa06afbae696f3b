package passthrough_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/passthrough"
	"chicoryhall.example/chicoryhall/routing"
	"chicoryhall.example/chicoryhall/timer"
)

// plainDialect is a dialect with one header for each term.
type plainDialect struct{}

func (plainDialect) ParseCaller(header http.Header) (chicoryhall.CallerHeaders, error) {
	terms := chicoryhall.CallerHeaders{
		ID: chicoryhall.RequestID(header.Get("Id")), Credential: header.Get("Key"), LastEvent: header.Get("Last"),
	}
	if text := header.Get("Wait"); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil {
			return terms, err
		}
		terms.MaxWait = wait
	}
	return terms, nil
}

func (plainDialect) Forward(header http.Header, terms chicoryhall.EndpointHeaders) http.Header {
	out := header.Clone()
	out.Del("Key")
	out.Set("Wait", terms.Remaining.String())
	out.Set("Endpoint", string(terms.Endpoint))
	out.Set("Organisation", string(terms.Organisation))
	if terms.LastEvent != "" {
		out.Set("Last", terms.LastEvent)
	}
	return out
}

func (plainDialect) ParseAnswer(response *http.Response) chicoryhall.AnswerHeaders {
	return chicoryhall.AnswerHeaders{
		NotRun: response.Header.Get("Not-Run") != "", RequestID: chicoryhall.RequestID(response.Header.Get("Id")),
		Unsigned: response.StatusCode == http.StatusOK && response.Header.Get("Signature") == "", Running: -1,
	}
}

// endpoint is a stand-in whose behaviour a test writes: it gets each request and its connection.
type endpoint struct {
	listener net.Listener
	mu       sync.Mutex
	seen     []*http.Request
	bodies   []string
}

// behaviour answers one request on a connection; false closes the connection.
type behaviour func(conn net.Conn, number int, request *http.Request) bool

func newEndpoint(t *testing.T, behave behaviour) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	e := &endpoint{listener: listener}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { e.serve(conn, behave) })
		}
	})
	t.Cleanup(func() { _ = listener.Close() })
	return e
}

func (e *endpoint) serve(conn net.Conn, behave behaviour) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.seen = append(e.seen, request)
		e.bodies = append(e.bodies, string(body))
		number := len(e.seen)
		e.mu.Unlock()
		if !behave(conn, number, request) {
			return
		}
	}
}

func (e *endpoint) requests() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*http.Request(nil), e.seen...)
}

// say writes text to a connection and keeps it open.
func say(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// reset closes a connection so that the other side sees a reset.
func reset(conn net.Conn) bool {
	_ = conn.(*net.TCPConn).SetLinger(0)
	return false
}

func whole(request *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", request.Header.Get("Id"), len(body), body)
}

func streamHead(request *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		request.Header.Get("Id"), request.Header.Get("Endpoint"))
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: d%d\n\n", id, id) }

// world is a server with endpoints that are tried in turn.
type world struct {
	address   string
	server    *passthrough.Server
	endpoints *views
	logs      *logs
	mu        sync.Mutex
	retries   int
	refuse    bool
}

// logs keeps what the server logs.
type logs struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logs) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// await fails unless a line with all words is logged.
func (l *logs) await(t *testing.T, words ...string) {
	t.Helper()
	deadline := time.Now().Add(2 * time.Second)
	for {
		l.mu.Lock()
		text := l.text.String()
		l.mu.Unlock()
		for line := range strings.Lines(text) {
			if containsAll(line, words) {
				return
			}
		}
		if time.Now().After(deadline) {
			t.Fatalf("no line has %q in:\n%s", words, text)
		}
		time.Sleep(time.Millisecond)
	}
}

func containsAll(line string, words []string) bool {
	for _, word := range words {
		if !strings.Contains(line, word) {
			return false
		}
	}
	return true
}

// views are endpoints that are always ready; they note what is observed.
type views struct {
	mu       sync.Mutex
	inFlight map[chicoryhall.EndpointID]int
	observed []string
}

func (v *views) View(chicoryhall.EndpointID) chicoryhall.EndpointView {
	return chicoryhall.EndpointView{}
}

func (v *views) Observe(id chicoryhall.EndpointID, observed chicoryhall.Observation) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if observed != chicoryhall.ObservedProgress {
		v.observed = append(v.observed, string(id)+" "+observed.String())
	}
}

func (v *views) Begin(id chicoryhall.EndpointID) { v.count(id, 1) }

func (v *views) End(id chicoryhall.EndpointID) { v.count(id, -1) }

func (v *views) count(id chicoryhall.EndpointID, change int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.inFlight[id] += change
}

func (v *views) Subscribe(func(chicoryhall.EndpointID, chicoryhall.EndpointState)) {}

func (v *views) Progressed(chicoryhall.EndpointID) time.Time { return time.Time{} }

func (v *views) ByAddress(string) (chicoryhall.EndpointID, bool) { return "", false }

func (v *views) Report(chicoryhall.EndpointID, int) {}

// Current describes every service alike.
func (w *world) Current(service chicoryhall.ServiceName) (chicoryhall.DocumentVersion, bool) {
	return chicoryhall.DocumentVersion{Document: &chicoryhall.Document{Service: service}}, true
}

func (w *world) All() []chicoryhall.DocumentVersion { return nil }

func (w *world) Subscribe(func(chicoryhall.DocumentVersion)) {}

func (w *world) Acquire(_ chicoryhall.AdmissionQuery, start func(chicoryhall.Permit), refuse func(time.Duration, string)) {
	if w.refuse {
		refuse(250*time.Millisecond, "no place")
		return
	}
	start(w)
}

// Release makes the world its own permit.
func (w *world) Release() {}

func (w *world) Requested(chicoryhall.ServiceName, time.Time) {}

func (w *world) Take(chicoryhall.ServiceName, time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retries--
	return w.retries >= 0
}

// inTurn routes to the first endpoint that is not excluded.
type inTurn struct{ addresses []string }

func (r inTurn) Choose(query chicoryhall.RouteQuery) (chicoryhall.Route, error) {
	for i, address := range r.addresses {
		id := chicoryhall.EndpointID("e" + strconv.Itoa(i))
		excluded := false
		for _, other := range query.Exclude {
			excluded = excluded || other == id
		}
		if !excluded {
			return chicoryhall.Route{Hops: []chicoryhall.Hop{{Engine: id, Address: address}}}, nil
		}
	}
	return chicoryhall.Route{}, errors.New("no endpoint is left")
}

func rules() *chicoryhall.RuleSet {
	rule := func(prefix string, kind chicoryhall.ExchangeKind, resumable bool) chicoryhall.Rule {
		return chicoryhall.Rule{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Resumable: resumable, Timeout: 2 * time.Second,
			TargetLatency: 200 * time.Millisecond, TargetGap: 150 * time.Millisecond, MaxAttempts: 2,
			Targets: []chicoryhall.RuleTarget{{Service: "s", Weight: 1}},
		}
	}
	return &chicoryhall.RuleSet{
		Version: 1,
		Rules: []chicoryhall.Rule{
			rule("/safe/", chicoryhall.ExchangeSafe, false), rule("/unsafe/", chicoryhall.ExchangeUnsafe, false),
			rule("/stream/", chicoryhall.ExchangeStream, true), rule("/once/", chicoryhall.ExchangeStream, false),
		},
		Organisations: []chicoryhall.RuleOrganisation{{Name: "o", Credentials: []string{"k"}}},
		Limits:        chicoryhall.MessageLimits{MaxHeadBytes: 2048, MaxBodyBytes: 1024, HeadTimeout: 300 * time.Millisecond, IdleTimeout: time.Second},
	}
}

// newWorld starts a server; the endpoints are tried in their order.
func newWorld(t *testing.T, set *chicoryhall.RuleSet, endpoints ...*endpoint) *world {
	t.Helper()
	return newWorldOn(t, 0, set, endpoints...)
}

// lateTimer makes its calls some time late, as if the process had been held up.
type lateTimer struct {
	*timer.Service
	late time.Duration
}

func (l lateTimer) After(delay time.Duration, fire func(time.Time)) chicoryhall.Subscription {
	return l.Service.After(delay+l.late, fire)
}

// newWorldOn starts a server whose timer is late.
func newWorldOn(t *testing.T, late time.Duration, set *chicoryhall.RuleSet, endpoints ...*endpoint) *world {
	t.Helper()
	var router inTurn
	for _, e := range endpoints {
		router.addresses = append(router.addresses, e.listener.Addr().String())
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	w := &world{address: free.Addr().String(), retries: 10, logs: &logs{}, endpoints: &views{inFlight: make(map[chicoryhall.EndpointID]int)}}
	must.NoError(t, free.Close())
	clock := timer.New()
	current := routing.NewCurrent()
	if set != nil {
		current.Apply(set)
	}
	w.server = passthrough.NewServer(passthrough.Parts{
		Address: w.address, Timer: lateTimer{Service: clock, late: late}, Rules: current, Documents: w, Endpoints: w.endpoints, Router: router, Admission: w,
		Retries: w, Dialect: plainDialect{}, Doubt: func() {}, Metrics: passthrough.NewMetrics(), Log: event.NewLogger(w.logs, "test", log.InfoLevel),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = clock.Serve(ctx) })
	serving.Go(func() { _ = w.server.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		serving.Wait()
	})
	for {
		conn, err := net.Dial("tcp", w.address)
		if err == nil {
			must.NoError(t, conn.Close())
			return w
		}
		time.Sleep(time.Millisecond)
	}
}

// dial opens a caller's connection.
func (w *world) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", w.address)
	must.NoError(t, err)
	must.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

func requestText(method, target, id, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: k\r\nContent-Length: %d\r\n\r\n%s", method, target, id, len(body), body)
}

// answer is one whole or broken answer as a caller sees it.
type answer struct {
	status int
	header http.Header
	body   string
	// last tells that the answer ends its connection.
	last bool
	err  error
}

func readAnswer(reader *bufio.Reader) answer {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), last: response.Close, err: err}
}

// ask sends one request on a new connection.
func (w *world) ask(t *testing.T, text string) answer {
	t.Helper()
	conn, reader := w.dial(t)
	must.True(t, say(conn, text))
	return readAnswer(reader)
}

// idle fails unless no endpoint counts work any more.
func (w *world) idle(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(2 * time.Second)
	for {
		w.endpoints.mu.Lock()
		busy := 0
		for _, count := range w.endpoints.inFlight {
			busy += count
		}
		w.endpoints.mu.Unlock()
		if busy == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d pieces of work are counted at endpoints", busy)
		}
		time.Sleep(time.Millisecond)
	}
}

func lines(text string) string { return strings.ReplaceAll(text, "\n", "|") }
