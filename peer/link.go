package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
)

const (
	dialTimeout = 500 * time.Millisecond
	// quietBeforePing is how long a call waits without any message before the connection is pinged.
	quietBeforePing = 100 * time.Millisecond
	// pingTimeout is how long a ping may take before the connection is replaced.
	pingTimeout = 100 * time.Millisecond
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 2 * time.Second
)

var (
	errQuiet  = errors.New("no message came on the connection")
	errSilent = errors.New("the connection has gone silent")
)

// link is the connection to one address, opened when it is needed.
type link struct {
	node    *Node
	address string
	// dialing holds one token while a connection is opened.
	dialing chan struct{}

	mu      sync.Mutex
	session *session
	backoff time.Duration
	retryAt time.Time
	lastErr error
	closed  bool
}

// session is one open connection whose peer has answered the greeting.
type session struct {
	rpc    *jsonrpc2.Conn
	stream *frames
	remote chicoryhall.DaemonID
}

func newLink(node *Node, address string) *link {
	return &link{node: node, address: address, dialing: make(chan struct{}, 1)}
}

// call sends one request, again on a new connection when the open one is dead or silent.
func (l *link) call(ctx context.Context, expected chicoryhall.DaemonID, method string, params json.RawMessage, result any) error {
	for tries := 0; ; tries++ {
		s, err := l.open(ctx, expected)
		if err != nil {
			return err
		}
		err = l.callOn(ctx, s, method, params, result)
		if err == nil || !replaceable(err) {
			return err
		}
		l.discard(s, err)
		if tries > 0 || ctx.Err() != nil {
			return err
		}
	}
}

// replaceable tells whether a new connection may do better.
func replaceable(err error) bool {
	var rpcError *jsonrpc2.Error
	return !errors.As(err, &rpcError) && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled)
}

// callOn sends one request and pings the connection whenever it is quiet.
func (l *link) callOn(ctx context.Context, s *session, method string, params json.RawMessage, result any) error {
	waiter, err := s.rpc.DispatchCall(ctx, method, params)
	if err != nil {
		return err
	}
	for {
		err = l.waitQuiet(ctx, s, waiter, result)
		if !errors.Is(err, errQuiet) {
			return err
		}
		if err := l.ping(ctx, s); err != nil {
			return err
		}
	}
}

// waitQuiet waits for the answer until the connection has been quiet for a while.
func (l *link) waitQuiet(ctx context.Context, s *session, waiter jsonrpc2.Waiter, result any) error {
	for {
		before := s.stream.reads.Load()
		err := waitFor(ctx, l.node.timer, quietBeforePing, waiter, result)
		if !errors.Is(err, errQuiet) || s.stream.reads.Load() == before {
			return err
		}
	}
}

// ping returns errSilent when the connection does not answer.
func (l *link) ping(ctx context.Context, s *session) error {
	waiter, err := s.rpc.DispatchCall(ctx, methodPing, struct{}{})
	if err != nil {
		return err
	}
	err = waitFor(ctx, l.node.timer, pingTimeout, waiter, nil)
	if errors.Is(err, errQuiet) {
		return errSilent
	}
	return err
}

func waitFor(ctx context.Context, timer chicoryhall.Timer, limit time.Duration, waiter jsonrpc2.Waiter, result any) error {
	limited, cancel := withTimeout(ctx, timer, limit, errQuiet)
	defer cancel()
	err := waiter.Wait(limited, result)
	if limited.Err() != nil && errors.Is(err, limited.Err()) {
		return context.Cause(limited)
	}
	return err
}

func (l *link) notify(ctx context.Context, expected chicoryhall.DaemonID, method string, params any) error {
	s, err := l.open(ctx, expected)
	if err != nil {
		return err
	}
	if err := s.rpc.Notify(ctx, method, params); err != nil {
		l.discard(s, err)
		return err
	}
	return nil
}

// open returns the open connection or opens one.
func (l *link) open(ctx context.Context, expected chicoryhall.DaemonID) (*session, error) {
	select {
	case l.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	defer func() { <-l.dialing }()
	s, err := l.current()
	if err != nil {
		return nil, err
	}
	if s == nil {
		s, err = l.dial(ctx)
		if err != nil {
			l.failed(err)
			return nil, err
		}
	}
	if expected != "" && s.remote != expected {
		return nil, errors.Errorf("the daemon there is %q", s.remote)
	}
	return s, nil
}

// current returns the open connection, nil when there is none, or why none may be opened yet.
func (l *link) current() (*session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errors.New("the link is closed")
	}
	if l.session != nil {
		return l.session, nil
	}
	if l.node.timer.Now().Before(l.retryAt) {
		return nil, l.lastErr
	}
	return nil, nil
}

// dial opens a connection and exchanges greetings.
func (l *link) dial(ctx context.Context) (*session, error) {
	ctx, cancel := withTimeout(ctx, l.node.timer, dialTimeout, context.DeadlineExceeded)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	stream := newFrames(conn, l.node.timer)
	options := append(l.node.meter.attach(stream), jsonrpc2.SetLogger(protocolLogger{l.node.logger, l.address}))
	rpc := jsonrpc2.NewConn(context.Background(), stream, outbound{}, options...)
	var remote hello
	if err := rpc.Call(ctx, methodHello, hello{ID: l.node.self}, &remote); err != nil {
		_ = rpc.Close()
		return nil, errors.Wrap(err, "greet")
	}
	s := &session{rpc: rpc, stream: stream, remote: remote.ID}
	return s, l.opened(s)
}

func (l *link) opened(s *session) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = s.rpc.Close()
		return errors.New("the link is closed")
	}
	l.session = s
	l.backoff = 0
	l.node.follow(l, s)
	return nil
}

// lost tells whether s is still the link's connection after it closed, and lets go of it.
func (l *link) lost(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != s {
		return false
	}
	l.session = nil
	return true
}

// failed lets the next connection wait, longer after each failure.
func (l *link) failed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	l.retryAt = l.node.timer.Now().Add(l.backoff)
	l.lastErr = err
}

// discard closes a connection that has failed.
func (l *link) discard(s *session, cause error) {
	l.mu.Lock()
	if l.session == s {
		l.session = nil
	}
	l.mu.Unlock()
	_ = s.rpc.Close()
	if errors.Is(cause, errSilent) && l.node.logger != nil {
		l.node.logger.Log(event.PeerConnectionSilent, "peer", s.remote, "address", l.address)
	}
}

func (l *link) close() {
	l.mu.Lock()
	s := l.session
	l.session = nil
	l.closed = true
	l.mu.Unlock()
	if s != nil {
		_ = s.rpc.Close()
	}
}

// outbound refuses calls on a connection that this daemon opened.
type outbound struct{}

// Handle refuses one message.
func (outbound) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	refuse(ctx, conn, request, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "call on a connection of your own"})
}

// WithTimeout returns a context whose deadline of limit follows the timer.
func WithTimeout(ctx context.Context, timer chicoryhall.Timer, limit time.Duration) (context.Context, func()) {
	return withTimeout(ctx, timer, limit, context.DeadlineExceeded)
}

// withTimeout returns a context that ends with cause after limit.
func withTimeout(ctx context.Context, timer chicoryhall.Timer, limit time.Duration, cause error) (context.Context, func()) {
	limited, cancel := context.WithCancelCause(ctx)
	subscription := timer.After(limit, func(time.Time) { cancel(cause) })
	return limited, func() {
		subscription.Cancel()
		cancel(context.Canceled)
	}
}
