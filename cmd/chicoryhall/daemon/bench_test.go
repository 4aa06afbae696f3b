package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
)

// clockTicks is the number of time units per second in /proc/PID/stat.
const clockTicks = 100

// fakeEngine sends a token to each open stream once per period, using hardly any processor time.
type fakeEngine struct {
	address string
	period  time.Duration
}

// startFakeEngine serves the engine protocol on a loopback address until the test ends.
func startFakeEngine(b testing.TB, period time.Duration) *fakeEngine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	f := &fakeEngine{address: listener.Addr().String(), period: period}
	server := &http.Server{Handler: f}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return f
}

func (f *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/load":
		load := chicoryhall.LoadReport{
			Endpoint: "e0", Incarnation: 1, State: chicoryhall.EndpointReady, Accelerator: "a", KVCapacity: 1 << 30, AsOfMillis: time.Now().UnixMilli(),
			LoadedLayers: []chicoryhall.LayerRange{{Model: "assistant", Version: "1", From: 0, To: testLayers}},
		}
		_ = json.NewEncoder(w).Encode(load)
	case "/v1/streams":
		f.stream(w, r)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// stream writes the answer on the raw connection, one write per token.
func (f *fakeEngine) stream(w http.ResponseWriter, r *http.Request) {
	var start engine.StreamRequest
	if err := json.NewDecoder(r.Body).Decode(&start); err != nil {
		return
	}
	controller := http.NewResponseController(w)
	next := time.Now()
	var line []byte
	for position := 0; position < start.MaxTokens; position++ {
		line = append(line[:0], `{"kind":"token","attempt":`...)
		line = strconv.AppendInt(line, int64(start.Attempt), 10)
		line = append(line, `,"position":`...)
		line = strconv.AppendInt(line, int64(position), 10)
		line = append(line, `,"token":1234567890}`+"\n"...)
		if _, err := w.Write(line); err != nil {
			return
		}
		if f.period > 0 {
			_ = controller.Flush()
			next = next.Add(f.period)
			time.Sleep(time.Until(next))
		}
	}
	_, _ = w.Write([]byte(fmt.Sprintf(`{"kind":"done","attempt":%d,"position":%d}`+"\n", start.Attempt, start.MaxTokens)))
}

// cpuTime returns the processor time that a process has used so far.
func cpuTime(b testing.TB, pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	must.NoError(b, err)
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+2:]))
	const userField, systemField = 11, 12
	user, err := strconv.Atoi(fields[userField])
	must.NoError(b, err)
	system, err := strconv.Atoi(fields[systemField])
	must.NoError(b, err)
	return time.Duration(user+system) * time.Second / clockTicks
}

// BenchmarkTokens measures a daemon's processor time per token over real sockets. Like a batching engine, which produces
// one token for each stream in each step, the fake engine writes each token separately. With two daemons, the
// second one stores each token before the caller gets it.
func BenchmarkTokens(b *testing.B) {
	const length = 2000
	cases := []struct {
		streams int
		period  time.Duration
		daemons int
	}{
		{64, 10 * time.Millisecond, 1},
		{256, 10 * time.Millisecond, 1},
		{256, 10 * time.Millisecond, 2},
		{64, 0, 1},
	}
	for _, c := range cases {
		b.Run(fmt.Sprintf("streams=%d/period=%s/daemons=%d", c.streams, c.period, c.daemons), func(b *testing.B) {
			fake := startFakeEngine(b, c.period)
			document := documentText("pipeline", []testEndpoint{{id: "e0", address: fake.address, from: 0, to: testLayers}})
			d := startDaemons(b, c.daemons, []string{"GOMAXPROCS=1"}, document)[0]
			waitFor(b, "the endpoint to be ready", func() bool {
				return newCaller(d).submit(context.Background(), query("warm up", 1), 0).complete
			})
			before := cpuTime(b, d.command.Process.Pid)
			began := time.Now()
			var tokens atomic.Int64
			for b.Loop() {
				var group sync.WaitGroup
				for range c.streams {
					group.Go(func() { tokens.Add(int64(countTokens(b, d.callers, length))) })
				}
				group.Wait()
			}
			used := cpuTime(b, d.command.Process.Pid) - before
			if tokens.Load() == 0 {
				b.Fatal("no tokens")
			}
			b.ReportMetric(float64(used.Nanoseconds())/float64(tokens.Load()), "cpu-ns/token")
			b.ReportMetric(float64(tokens.Load())/used.Seconds(), "tokens/core-s")
			b.ReportMetric(float64(tokens.Load())/time.Since(began).Seconds(), "tokens/s")
		})
	}
}

// countTokens sends a request and returns the number of tokens of its answer, parsing as little as possible.
func countTokens(b testing.TB, address string, length int) int {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer func() { _ = conn.Close() }()
	body := fmt.Sprintf(`{"class":"query","prompt":"torque of the bolts","maxTokens":%d}`, length)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", requestsPath, testToken, len(body), body)
	reader := bufio.NewReaderSize(conn, 64<<10)
	status, err := reader.ReadString('\n')
	if err != nil || !strings.Contains(status, " 200 ") {
		b.Errorf("status line %q, error %v", status, err)
		return 0
	}
	count := 0
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			b.Error(err)
			return count
		}
		if bytes.HasPrefix(line, []byte("id: ")) {
			count++
		}
		if bytes.HasPrefix(line, []byte("event: ")) {
			return count
		}
	}
}

// BenchmarkAddedLatency measures by how much the first token comes later through the daemon than directly from the engine.
func BenchmarkAddedLatency(b *testing.B) {
	const samples, pause = 2000, 2 * time.Millisecond
	fake := startFakeEngine(b, time.Millisecond)
	d := startDaemon(b, nil, documentText("pipeline", []testEndpoint{{id: "e0", address: fake.address, from: 0, to: testLayers}}))
	client := newCaller(d)
	waitFor(b, "the endpoint to be ready", func() bool {
		return client.submit(context.Background(), query("warm up", 1), 0).complete
	})
	for b.Loop() {
		var direct, routed []time.Duration
		for range samples {
			direct = append(direct, firstByte(b, fake.address, "/v1/streams", `{"stream":"s","attempt":1,"model":"assistant","version":"1","prompt":[1],"maxTokens":1,"route":[]}`))
			routed = append(routed, firstByte(b, d.callers, requestsPath, `{"class":"query","prompt":"torque","maxTokens":1}`))
			time.Sleep(pause)
		}
		for _, p := range []float64{0.5, 0.99} {
			added := quantile(routed, p) - quantile(direct, p)
			b.ReportMetric(float64(quantile(direct, p).Microseconds()), fmt.Sprintf("direct-p%g-us", p*100))
			b.ReportMetric(float64(added.Microseconds()), fmt.Sprintf("added-p%g-us", p*100))
		}
	}
}

func quantile(values []time.Duration, p float64) time.Duration {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(p*float64(len(sorted)-1))]
}

// firstByte returns the time to the first byte of the response body over a reused connection.
func firstByte(b testing.TB, address, path, body string) time.Duration {
	began := time.Now()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	must.NoError(b, err)
	request.Header.Set("Authorization", "Bearer "+testToken)
	response, err := http.DefaultClient.Do(request)
	must.NoError(b, err)
	var one [1]byte
	_, err = response.Body.Read(one[:])
	taken := time.Since(began)
	must.NoError(b, err)
	_, _ = bufio.NewReader(response.Body).Discard(1 << 20)
	_ = response.Body.Close()
	return taken
}
