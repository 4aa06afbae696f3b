package faultproxy_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/faultproxy"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/timer"
)

// startEchoServer starts a server that sends back all data it receives, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// startProxy starts a proxy with one link and returns the proxy and the link's listening address.
func startProxy(t *testing.T, target string) (*faultproxy.Proxy, string) {
	t.Helper()
	clock := timer.New()
	p := faultproxy.New(clock, event.NewLogger(io.Discard, "test", log.ErrorLevel))
	p.Add("127.0.0.1:0", target)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = clock.Serve(ctx) }()
	go func() { _ = p.Serve(ctx) }()
	must.NoError(t, p.Start())
	t.Cleanup(func() {
		cancel()
		p.Stop()
	})
	return p, p.Ledger().([]faultproxy.LinkLedger)[0].Listen
}

func setFaults(t *testing.T, p *faultproxy.Proxy, address string, faults faultproxy.LinkFaults) {
	t.Helper()
	text, err := json.Marshal(faultproxy.Faults{Links: map[string]faultproxy.LinkFaults{address: faults}})
	must.NoError(t, err)
	must.NoError(t, p.SetFaults(text))
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// answerTimeout is how long a test waits for data that must arrive.
const answerTimeout = 10 * time.Second

// echoes reports whether a byte sent on the connection comes back within the timeout.
func echoes(t *testing.T, c net.Conn, timeout time.Duration) bool {
	t.Helper()
	_, err := c.Write([]byte("x"))
	if err != nil {
		return false
	}
	must.NoError(t, c.SetReadDeadline(time.Now().Add(timeout)))
	n, _ := c.Read(make([]byte, 1))
	return n == 1
}

func TestDataArrivesInOrder(t *testing.T) {
	cases := []struct {
		name   string
		faults faultproxy.LinkFaults
	}{
		{"healthy", faultproxy.LinkFaults{}},
		{"delayed", faultproxy.LinkFaults{DelayMillis: 3}},
		{"slow", faultproxy.LinkFaults{BytesPerSecond: 8 << 20}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, address := startProxy(t, startEchoServer(t))
			setFaults(t, p, address, c.faults)
			conn := dial(t, address)
			sent := make([]byte, 1<<20)
			for i := range sent {
				sent[i] = byte(rand.Uint32())
			}
			go func() { _, _ = conn.Write(sent) }()
			got := make([]byte, len(sent))
			must.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
			_, err := io.ReadFull(conn, got)
			must.NoError(t, err)
			must.True(t, bytes.Equal(sent, got))
		})
	}
}

func TestSilenceAffectsOnlyOpenConnections(t *testing.T) {
	p, address := startProxy(t, startEchoServer(t))
	open := dial(t, address)
	must.True(t, echoes(t, open, answerTimeout))
	must.True(t, p.Act("silence/"+address))
	must.False(t, echoes(t, open, 200*time.Millisecond))
	must.True(t, echoes(t, dial(t, address), answerTimeout))
}

// A cut also closes the connections that are open when it begins.
func TestCutRefusesUntilHealed(t *testing.T) {
	p, address := startProxy(t, startEchoServer(t))
	open := dial(t, address)
	must.True(t, echoes(t, open, answerTimeout))
	setFaults(t, p, address, faultproxy.LinkFaults{Cut: true})
	must.False(t, echoes(t, open, time.Second))
	_, err := net.Dial("tcp", address)
	must.Error(t, err)
	setFaults(t, p, address, faultproxy.LinkFaults{})
	must.True(t, echoes(t, dial(t, address), answerTimeout))
}

func TestCutAnswerAfter(t *testing.T) {
	p, address := startProxy(t, startEchoServer(t))
	setFaults(t, p, address, faultproxy.LinkFaults{CutAnswerAfter: 10})
	c := dial(t, address)
	_, err := c.Write(make([]byte, 64))
	must.NoError(t, err)
	must.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	got, _ := io.ReadAll(c)
	must.Len(t, 10, got)
}

func TestBytesPerSecondLimitsTheRate(t *testing.T) {
	p, address := startProxy(t, startEchoServer(t))
	setFaults(t, p, address, faultproxy.LinkFaults{BytesPerSecond: 100_000})
	c := dial(t, address)
	start := time.Now()
	_, err := c.Write(make([]byte, 30_000))
	must.NoError(t, err)
	must.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = io.ReadFull(c, make([]byte, 30_000))
	must.NoError(t, err)
	// 30,000 bytes at 100,000 per second take 300 ms.
	must.GreaterEq(t, 300*time.Millisecond, time.Since(start))
}
