package peer_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/peer"
	"chicoryhall.example/chicoryhall/timer"
)

// startNode serves a node until the test ends.
func startNode(t *testing.T, id chicoryhall.DaemonID) *peer.Node {
	t.Helper()
	clock := timer.New()
	node, err := peer.New(peer.Config{Self: id, Listen: "127.0.0.1:0", Timer: clock})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- clock.Serve(ctx) }()
	go func() { done <- node.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		<-done
	})
	return node
}

type testMessage struct{ Text string }

func TestCallReachesHandler(t *testing.T) {
	a, b := startNode(t, "a"), startNode(t, "b")
	peer.Handle(b, "test.greet", func(_ context.Context, from chicoryhall.DaemonID, in testMessage) (testMessage, error) {
		if in.Text == "" {
			return testMessage{}, fmt.Errorf("greeting of %q is empty", from)
		}
		return testMessage{Text: string(from) + " says " + in.Text}, nil
	})
	a.SetAddress("b", b.Address())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	out, err := peer.Call[testMessage](ctx, a, "b", "test.greet", testMessage{Text: "hello"})
	must.NoError(t, err)
	must.Eq(t, "a says hello", out.Text)
	_, err = peer.Call[testMessage](ctx, a, "b", "test.greet", testMessage{})
	must.ErrorContains(t, err, `greeting of "a" is empty`)
	_, err = peer.Call[testMessage](ctx, a, "b", "test.none", testMessage{})
	must.ErrorContains(t, err, "no such method")
	_, err = peer.Call[testMessage](ctx, a, "c", "test.greet", testMessage{})
	must.ErrorContains(t, err, "its address is not known")
	a.SetAddress("c", b.Address())
	_, err = peer.Call[testMessage](ctx, a, "c", "test.greet", testMessage{})
	must.ErrorContains(t, err, `the daemon there is "b"`)
}
