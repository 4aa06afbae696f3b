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

// echo starts a server that sends back all data it receives, and returns its address.
func echo(t *testing.T) string {
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

// link starts a proxy with one link and returns the proxy and the link's address.
func link(t *testing.T, target string) (*faultproxy.Proxy, string) {
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

func set(t *testing.T, p *faultproxy.Proxy, address string, faults faultproxy.LinkFaults) {
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

// answerWait is how long a test waits for an answer that must arrive.
const answerWait = 10 * time.Second

// answers reports whether a byte sent on the connection comes back within the wait.
func answers(t *testing.T, c net.Conn, wait time.Duration) bool {
	t.Helper()
	_, err := c.Write([]byte("x"))
	if err != nil {
		return false
	}
	must.NoError(t, c.SetReadDeadline(time.Now().Add(wait)))
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
			p, address := link(t, echo(t))
			set(t, p, address, c.faults)
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
	p, address := link(t, echo(t))
	old := dial(t, address)
	must.True(t, answers(t, old, answerWait))
	must.True(t, p.Act("silence/"+address))
	must.False(t, answers(t, old, 200*time.Millisecond))
	must.True(t, answers(t, dial(t, address), answerWait))
}

func TestCutRefusesUntilHealed(t *testing.T) {
	p, address := link(t, echo(t))
	old := dial(t, address)
	must.True(t, answers(t, old, answerWait))
	set(t, p, address, faultproxy.LinkFaults{Cut: true})
	must.False(t, answers(t, old, time.Second))
	_, err := net.Dial("tcp", address)
	must.Error(t, err)
	set(t, p, address, faultproxy.LinkFaults{})
	must.True(t, answers(t, dial(t, address), answerWait))
}

func TestCutAnswerAfter(t *testing.T) {
	p, address := link(t, echo(t))
	set(t, p, address, faultproxy.LinkFaults{CutAnswerAfter: 10})
	c := dial(t, address)
	_, err := c.Write(make([]byte, 64))
	must.NoError(t, err)
	must.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	got, _ := io.ReadAll(c)
	must.Len(t, 10, got)
}

func TestBytesPerSecondLimitsTheRate(t *testing.T) {
	p, address := link(t, echo(t))
	set(t, p, address, faultproxy.LinkFaults{BytesPerSecond: 100_000})
	c := dial(t, address)
	begin := time.Now()
	_, err := c.Write(make([]byte, 30_000))
	must.NoError(t, err)
	must.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = io.ReadFull(c, make([]byte, 30_000))
	must.NoError(t, err)
	must.GreaterEq(t, 300*time.Millisecond, time.Since(begin))
}
