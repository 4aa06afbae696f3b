package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/jsonrpc2"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/timer"
)

func frameOf(text string) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(text)))
	return append(frame, text...)
}

// FuzzReadFrame feeds arbitrary bytes to a connection, which must end once its peer closes it.
func FuzzReadFrame(f *testing.F) {
	f.Add(frameOf(`{"jsonrpc":"2.0","id":1,"method":"peer.hello","params":{"id":"a"}}`))
	f.Add(frameOf(`{"jsonrpc":"2.0","id":1,"result":{}}`))
	f.Add(frameOf(`[{"jsonrpc":"2.0","id":1,"method":"peer.ping"}]`))
	f.Add(frameOf(`null`))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 9, '{'})
	f.Fuzz(func(t *testing.T, sent []byte) {
		local, remote := net.Pipe()
		node := &Node{self: "b", timer: timer.New(), handlers: map[string]methodHandler{}}
		node.meter = newMeter(newTestSet())
		Handle(node, "test", func(context.Context, chicoryhall.DaemonID, greeting) (greeting, error) { return greeting{}, nil })
		ended := make(chan struct{})
		go func() {
			node.serveConn(context.Background(), local)
			close(ended)
		}()
		go func() { _, _ = io.Copy(io.Discard, remote) }()
		_, _ = remote.Write(sent)
		_ = remote.Close()
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatal("the connection did not end after its peer closed it")
		}
	})
}

func TestLongMessagesAreRefused(t *testing.T) {
	header := binary.BigEndian.AppendUint32(nil, maxMessageBytes+1)
	_, err := readFrame(bytes.NewReader(header))
	must.ErrorContains(t, err, "exceeds the limit")
	local, remote := net.Pipe()
	defer remote.Close()
	stream := newFrameStream(local, timer.NewManual(time.Now()))
	err = stream.WriteObject(&jsonrpc2.Request{Method: string(make([]byte, maxMessageBytes))})
	must.ErrorContains(t, err, "exceeds the limit")
}
