package daemon_test

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// BenchmarkRelay measures the processor time that relaying activations through a daemon's VM would take. Engines send
// activations to each other directly; this is the cost of the alternative. It sends messages of the size of one
// activation through the stand-in proxy, a process that only relays bytes.
func BenchmarkRelay(b *testing.B) {
	const streams, messages, period = 64, 500, 10 * time.Millisecond
	for _, size := range []int{64, 8 << 10, 16 << 10} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			sink := startSink(b)
			address := freeAddress(b)
			relay := start(b, "chicorystand", []string{"GOMAXPROCS=1"}, "proxy", address+"="+sink)
			waitFor(b, "the relay", func() bool {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					return false
				}
				return conn.Close() == nil
			})
			before := cpuTime(b, relay.command.Process.Pid)
			count := 0
			for b.Loop() {
				var group sync.WaitGroup
				for range streams {
					group.Go(func() { sendMessages(b, address, size, messages, period) })
				}
				group.Wait()
				count += streams * messages
			}
			used := cpuTime(b, relay.command.Process.Pid) - before
			b.ReportMetric(float64(used.Nanoseconds())/float64(count), "cpu-ns/message")
		})
	}
}

// startSink starts a server that discards all data, and returns its address.
func startSink(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()
	return listener.Addr().String()
}

func sendMessages(b *testing.B, address string, size, messages int, period time.Duration) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = conn.Close() }()
	message := make([]byte, size)
	next := time.Now()
	for range messages {
		if _, err := conn.Write(message); err != nil {
			b.Error(err)
			return
		}
		next = next.Add(period)
		time.Sleep(time.Until(next))
	}
}
