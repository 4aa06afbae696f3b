package daemon_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// BenchmarkRecovery injects a fault into an engine during streams and measures the longest time between two tokens
// for each caller, including callers whose streams did not use that engine.
func BenchmarkRecovery(b *testing.B) {
	const callers, length, rounds = 16, 120, 4
	for _, fault := range []string{"none", "crash", "freeze", "silence"} {
		b.Run(fault, func(b *testing.B) {
			var gaps []time.Duration
			for b.Loop() {
				for range rounds {
					gaps = append(gaps, gapsUnder(b, fault, callers, length)...)
				}
			}
			for _, p := range []float64{0.5, 0.95, 0.99} {
				b.ReportMetric(float64(quantile(gaps, p).Milliseconds()), fmt.Sprintf("gap-p%g-ms", p*100))
			}
		})
	}
}

// gapsUnder injects the fault while the callers read answers of length tokens, and returns each caller's longest gap.
func gapsUnder(b *testing.B, fault string, callers, length int) []time.Duration {
	engines := startEngines(b)
	d := startDaemon(b, nil, documentText("pipeline", engines))
	gaps := make([]time.Duration, callers)
	var group sync.WaitGroup
	for i := range gaps {
		group.Go(func() { gaps[i] = longestGap(b, d.callers, length) })
	}
	if fault != "none" {
		time.Sleep(400 * time.Millisecond)
		control(b, engines[1].control, fault)
	}
	group.Wait()
	_ = d.command.Process.Kill()
	for _, e := range engines {
		_ = e.process.command.Process.Kill()
	}
	return gaps
}

// longestGap reads one answer and returns the longest time between two of its tokens.
func longestGap(b *testing.B, address string, length int) time.Duration {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer func() { _ = conn.Close() }()
	must.NoError(b, conn.SetDeadline(time.Now().Add(time.Minute)))
	body := fmt.Sprintf(`{"class":"query","prompt":"torque of the bolts","maxTokens":%d}`, length)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", requestsPath, testToken, len(body), body)
	reader := bufio.NewReader(conn)
	var longest time.Duration
	var last time.Time
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			b.Errorf("the answer is incomplete: %v", err)
			return longest
		}
		if bytes.HasPrefix(line, []byte("event: error")) {
			b.Error("the answer ended in an error")
			return longest
		}
		if bytes.HasPrefix(line, []byte("event: end")) {
			return longest
		}
		if bytes.HasPrefix(line, []byte("id: ")) {
			now := time.Now()
			if !last.IsZero() {
				longest = max(longest, now.Sub(last))
			}
			last = now
		}
	}
}
