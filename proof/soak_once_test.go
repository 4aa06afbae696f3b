package proof

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// onceEnd is how a request ended for its caller.
type onceEnd string

// The ends of requests, beside the statuses of answers.
const (
	endedClosed onceEnd = "closed without an answer"
	endedReset  onceEnd = "reset without an answer"
	endedTorn   onceEnd = "an answer that ends early"
	endedSilent onceEnd = "no answer long after the time for it"
	endedLeft   onceEnd = "the caller has left"
)

// onceTry is one try of a caller to have something done. Tries with the same content have different IDs.
type onceTry struct {
	id, content string
	kind        soakKind
	daemon      string
	sentAt      time.Time
	// on is the number of the request on its connection.
	on     int
	status int
	end    onceEnd
}

// saysNotRun reports whether the answer says that the request has not run.
func (o *onceTry) saysNotRun() bool {
	switch o.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// onceCaller has things done that must be done once. It sends again what has not run.
type onceCaller struct {
	platform *soakPlatform
	name     string
	random   *rand.Rand
	// leaves is set if the caller closes its connections early.
	leaves bool
	// trustsResets is set if the caller takes a reset before any byte of an answer for the sign that its request was not read. A
	// daemon that is killed gives that sign, too.
	trustsResets bool
	daemon       string
	conn         net.Conn
	reader       *bufio.Reader
	sent         int
	tries        []onceTry
}

// run has one thing done after another until end is closed.
func (c *onceCaller) run(end <-chan struct{}) {
	for number := 0; ; number++ {
		select {
		case <-end:
			c.disconnect()
			return
		case <-time.After(time.Duration(c.random.IntN(20)) * time.Millisecond):
		}
		c.do(fmt.Sprintf("%s-%d", c.name, number))
	}
}

func (c *onceCaller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do tries to have something done, up to four times.
func (c *onceCaller) do(content string) {
	kind := unsafeKind
	if c.random.IntN(4) == 0 {
		kind = safeKind
	}
	for try := range 4 {
		if !c.connect() {
			return
		}
		one := onceTry{id: fmt.Sprintf("%s%s%d", content, repeatMark, try), content: content, kind: kind, daemon: c.daemon, sentAt: time.Now(), on: c.sent}
		c.sent++
		c.send(&one)
		c.tries = append(c.tries, one)
		if !one.saysNotRun() && (!c.trustsResets || one.end != endedReset) {
			return
		}
		time.Sleep(time.Duration(20+c.random.IntN(60)) * time.Millisecond)
	}
}

// connect opens a connection to a random daemon unless there is one.
func (c *onceCaller) connect() bool {
	if c.conn != nil {
		return true
	}
	d := c.platform.daemons[c.random.IntN(len(c.platform.daemons))]
	conn, err := net.DialTimeout("tcp", d.direct, time.Second)
	if err != nil {
		return false
	}
	c.daemon, c.conn, c.reader, c.sent = d.name, conn, bufio.NewReader(conn), 0
	return true
}

// send sends one request and waits for its end.
func (c *onceCaller) send(one *onceTry) {
	text := fmt.Sprintf("POST /%s/a HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nApi-Key: k\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		one.kind.name, one.id, one.kind.timeout.Milliseconds(), len(one.content), one.content)
	_ = c.conn.SetDeadline(time.Now().Add(one.kind.timeout + 4*time.Second)) // An error would also occur in the write.
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.disconnect()
		one.end = endOf(err)
		return
	}
	if c.leaves {
		c.leave()
		one.end = endedLeft
		return
	}
	if isLast := c.read(one); isLast {
		c.disconnect()
	}
}

// leave closes the connection before the answer, half of the times with a reset.
func (c *onceCaller) leave() {
	time.Sleep(time.Duration(c.random.IntN(15_000)) * time.Microsecond)
	if tcp, ok := c.conn.(*net.TCPConn); ok && c.random.IntN(2) == 0 {
		_ = tcp.SetLinger(0) // Makes Close reset the connection.
	}
	c.disconnect()
}

// endOf returns how a connection ended, from the error of reading or writing it.
func endOf(err error) onceEnd {
	switch {
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return endedReset
	case errors.Is(err, os.ErrDeadlineExceeded):
		return endedSilent
	}
	return endedClosed
}

// read reads the answer. It reports whether the connection has ended.
func (c *onceCaller) read(one *onceTry) bool {
	if _, err := c.reader.Peek(1); err != nil {
		one.end = endOf(err)
		return true
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		one.end = endedTorn
		return true
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		one.end = endedTorn
		return true
	}
	one.status, one.end = response.StatusCode, onceEnd(response.Status)
	if one.status == http.StatusOK && string(body) != "answer to "+one.id {
		one.end = onceEnd("200 with the body " + string(body))
	}
	return response.Close
}

// onceCallers are the callers of one run.
type onceCallers struct {
	all  []*onceCaller
	end  chan struct{}
	done sync.WaitGroup
}

// startOnceCallers starts callers that stay, and callers that leave early.
func startOnceCallers(w *soakPlatform, staying, leaving int, trustResets bool, seed uint64) *onceCallers {
	cs := &onceCallers{end: make(chan struct{})}
	for i := range staying + leaving {
		c := &onceCaller{platform: w, name: fmt.Sprintf("o%d", i), random: rand.New(rand.NewPCG(seed, uint64(i))), leaves: i >= staying, trustsResets: trustResets}
		cs.all = append(cs.all, c)
		cs.done.Go(func() { c.run(cs.end) })
	}
	return cs
}

// stop stops the callers and returns their tries.
func (cs *onceCallers) stop() []onceTry {
	close(cs.end)
	cs.done.Wait()
	var tries []onceTry
	for _, c := range cs.all {
		tries = append(tries, c.tries...)
	}
	return tries
}

// onceReport is what a run showed of requests that must run once.
type onceReport struct {
	tries int
	ends  map[string]int
	// twice are requests that ran twice, again those whose content ran in two tries, refused those that ran although their answer says
	// they did not, and unanswered those that ran and whose connection ended without a byte of an answer.
	twice, again, refused, unanswered []string
}

// judgeOnce compares tries with what the endpoints ran.
func judgeOnce(tries []onceTry, runs []soakRun, startedAt time.Time) onceReport {
	report := onceReport{tries: len(tries), ends: make(map[string]int)}
	ran := make(map[string][]string)
	for _, run := range runs {
		ran[run.Request] = append(ran[run.Request], run.Engine)
	}
	tried := make(map[string][]onceTry)
	for _, one := range tries {
		report.ends[one.kind.name+" "+string(one.end)]++
		engines := ran[one.id]
		text := fmt.Sprintf("%.3f s %s (%s, %s, request %d of its connection to %s) ran at %v", one.sentAt.Sub(startedAt).Seconds(), one.id,
			one.kind.name, one.end, one.on, one.daemon, engines)
		if one.kind == unsafeKind && len(engines) > 1 {
			report.twice = append(report.twice, text)
		}
		if one.status == http.StatusServiceUnavailable && len(engines) > 0 {
			report.refused = append(report.refused, text)
		}
		if len(engines) > 0 && (one.end == endedClosed || one.end == endedReset || one.end == endedSilent) {
			report.unanswered = append(report.unanswered, text)
		}
		if one.kind == unsafeKind && len(engines) > 0 {
			tried[one.content] = append(tried[one.content], one)
		}
	}
	for content, all := range tried {
		if len(all) > 1 {
			report.again = append(report.again, fmt.Sprintf("%s: %v", content, all))
		}
	}
	return report
}

// log logs the report, and at most a few cases of each kind.
func (r *onceReport) log(t *testing.T) {
	t.Helper()
	t.Logf("%d tries: %v", r.tries, r.ends)
	for name, cases := range map[string][]string{"ran twice": r.twice, "content ran twice": r.again, "refused and ran": r.refused, "ran, closed without an answer": r.unanswered} {
		t.Logf("%s: %d\n%s", name, len(cases), strings.Join(cases[:min(8, len(cases))], "\n"))
	}
}

// comeAndGo returns the faults of daemons and of their ways to the endpoints.
func comeAndGo() []soakFault {
	faults := []soakFault{
		{"cut a daemon off from the endpoints", cutOffBy(endpointCut{})},
		{"cut a daemon off silently", cutOffBy(endpointCut{Silent: true})},
		{"let a daemon open no connections", cutOffBy(endpointCut{KeepOpen: true})},
	}
	for _, fault := range soakFaults {
		switch fault.name {
		case "kill a daemon", "stop a daemon", "reload a daemon", "freeze a daemon", "crash an endpoint", "change the configuration", "lose the store's answers":
			faults = append(faults, fault)
		}
	}
	return faults
}

// cutOffBy returns a fault that cuts a random daemon off from all endpoints, so that it hands its requests over.
func cutOffBy(cut endpointCut) func(*soakPlatform, *rand.Rand) func() {
	return func(w *soakPlatform, random *rand.Rand) func() {
		cutOff := []*soakDaemon{w.randomDaemon(random)}
		w.cutOff(cutOff, cut)
		return func() { w.cutOff(cutOff, endpointCut{Ended: true}) }
	}
}

// TestWhatMustRunOnceRunsOnce guards against requests that run twice, and such whose connection ends without an answer, so that
// their callers send them again (TWICE, LOST).
func TestWhatMustRunOnceRunsOnce(t *testing.T) {
	faulty := map[string]any{"againPercent": 4, "tornPercent": 3, "unreadPercent": 3, "closePercent": 5, "refusePercent": 5}
	cases := []struct {
		name   string
		faults map[string]any
		slots  int
		work   float64
		// daemons are the faults of daemons. Those end connections without an answer.
		daemons []soakFault
	}{
		{"callers leave", map[string]any{}, 64, 8, nil},
		{"faulty answers", faulty, 64, 8, nil},
		{"few slots", faulty, 2, 15, nil},
		{"daemons come and go", faulty, 16, 10, comeAndGo()},
	}
	duration := time.Duration(environmentNumberOr("ONCE_SECONDS", 3)) * time.Second
	seed := uint64(environmentNumberOr("SOAK_SEED", 1))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			layout := twoDomains(environmentNumberOr("ONCE_DAEMONS", 2), 0, 2)
			layout.plainSettings = map[string]any{"answerFaults": c.faults, "slots": c.slots, "workMillis": c.work}
			layout.ownSources = true
			w := newSoakPlatform(t, layout)
			time.Sleep(time.Second)
			cs := startOnceCallers(w, environmentNumberOr("ONCE_STAYING", 40), environmentNumberOr("ONCE_LEAVING", 40), c.daemons == nil, seed)
			startedAt := time.Now()
			if c.daemons == nil {
				time.Sleep(duration)
			} else {
				t.Log(strings.Join(injectFaultsOf(w, c.daemons, seed, duration), "\n"))
			}
			report := judgeOnce(cs.stop(), w.runs(t), startedAt)
			report.log(t)
			if len(report.twice)+len(report.again)+len(report.refused) > 0 || c.daemons == nil && len(report.unanswered) > 0 {
				t.Errorf("requests ran twice, or were lost; logs: %s", w.keepLogs(t))
			}
		})
	}
}
