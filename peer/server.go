package peer

import (
	"context"
	"encoding/json"
	"net"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
)

const (
	methodGreeting = "peer.hello"
	methodPing     = "peer.ping"
	// maxConcurrentCalls bounds the calls of one connection that run at once.
	maxConcurrentCalls = 1024
	// codeBusy is the error code for a call while maxConcurrentCalls run. JSON-RPC leaves codes from -32099 to -32000
	// to servers.
	codeBusy = -32001
	// codeNoGreeting is the error code for a call on a connection without a greeting.
	codeNoGreeting = -32002
)

// greeting is the message that both sides exchange when a connection is opened.
type greeting struct {
	ID chicoryhall.DaemonID `json:"id"`
}

// serverHandler handles the calls on one connection that a peer opened.
type serverHandler struct {
	node *Node
	// from is the peer's ID, empty before its greeting. Only the reading goroutine uses it.
	from  chicoryhall.DaemonID
	group errgroup.Group
}

// serveConn serves one accepted connection until it closes.
func (n *Node) serveConn(ctx context.Context, conn net.Conn) {
	stream := newFrameStream(conn, n.timer)
	server := &serverHandler{node: n}
	server.group.SetLimit(maxConcurrentCalls)
	options := append(n.meter.instrument(stream), jsonrpc2.SetLogger(protocolLogger{n.logger, conn.RemoteAddr().String()}))
	rpc := jsonrpc2.NewConn(ctx, stream, server, options...)
	<-rpc.DisconnectNotify()
	_ = server.group.Wait()
}

// Handle handles one call; it runs on the connection's reading goroutine.
func (s *serverHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	switch request.Method {
	case methodGreeting:
		s.handleGreeting(ctx, conn, request)
	case methodPing:
		_ = conn.Reply(ctx, request.ID, struct{}{})
	default:
		from := s.from
		if !s.group.TryGo(func() error { s.handleCall(ctx, conn, from, request); return nil }) {
			replyError(ctx, conn, request, &jsonrpc2.Error{Code: codeBusy, Message: "too many calls at once"})
		}
	}
}

func (s *serverHandler) handleGreeting(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	var received greeting
	if err := json.Unmarshal(rawParams(request), &received); err != nil || received.ID == "" {
		// The peer gets the same message for a greeting that can't be decoded.
		replyError(ctx, conn, request, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "the greeting names no daemon"})
		return
	}
	s.from = received.ID
	_ = conn.Reply(ctx, request.ID, greeting{ID: s.node.self})
}

func (s *serverHandler) handleCall(ctx context.Context, conn *jsonrpc2.Conn, from chicoryhall.DaemonID, request *jsonrpc2.Request) {
	handle, ok := s.node.handlerOf(request.Method)
	if !ok {
		replyError(ctx, conn, request, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method: " + request.Method})
		return
	}
	if from == "" {
		replyError(ctx, conn, request, &jsonrpc2.Error{Code: codeNoGreeting, Message: "the connection has no greeting"})
		return
	}
	result, err := handle(ctx, from, rawParams(request))
	if request.Notif {
		return
	}
	if err != nil {
		replyError(ctx, conn, request, asRPCError(err))
		return
	}
	_ = conn.Reply(ctx, request.ID, result)
}

func replyError(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, err *jsonrpc2.Error) {
	if !request.Notif {
		_ = conn.ReplyWithError(ctx, request.ID, err)
	}
}

func asRPCError(err error) *jsonrpc2.Error {
	if rpcError, ok := err.(*jsonrpc2.Error); ok {
		return rpcError
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

func rawParams(request *jsonrpc2.Request) json.RawMessage {
	if request.Params == nil {
		return json.RawMessage("null")
	}
	return *request.Params
}

// protocolLogger logs the messages of the JSON-RPC library as events.
type protocolLogger struct {
	logger *event.Logger
	peer   string
}

// Printf logs one message of the library, except for network errors, which occur whenever a connection is reset. The
// event has only the values, such as the error, each under the key "detail"; the format with the message's words is not
// logged.
func (l protocolLogger) Printf(_ string, values ...any) {
	if l.logger != nil && !isNetworkError(values) {
		l.logger.Log(event.PeerProtocolError, append([]any{"peer", l.peer}, keyValues(values)...)...)
	}
}

func isNetworkError(values []any) bool {
	for _, value := range values {
		err, ok := value.(error)
		var network *net.OpError
		if ok && errors.As(err, &network) {
			return true
		}
	}
	return false
}

func keyValues(values []any) []any {
	pairs := make([]any, 0, 2*len(values))
	for _, value := range values {
		pairs = append(pairs, "detail", value)
	}
	return pairs
}
