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
	// dialTimeout bounds the time to connect and exchange greetings.
	dialTimeout = 500 * time.Millisecond
	// quietPeriod is how long a call waits without any message arriving before it pings the connection.
	quietPeriod = 100 * time.Millisecond
	// pingTimeout is how long a ping may take before the connection is replaced.
	pingTimeout = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the time between two attempts to connect.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

var (
	// errNoAnswer means that no answer came within the limit of waitFor.
	errNoAnswer = errors.New("no message came on the connection")
	// errPingUnanswered means that a ping was not answered.
	errPingUnanswered = errors.New("the connection has gone silent")
)

// link manages the connection to one address, as a session that is opened when a call needs it and replaced when it
// breaks.
type link struct {
	node    *Node
	address string
	// dialToken holds a token while a call looks up or opens the session, so that only one call at a time dials. It is
	// a channel instead of a mutex so that a call stops waiting for it when its context ends.
	dialToken chan struct{}

	mu      sync.Mutex
	session *session
	// backoff is the time between the last failed attempt to connect and retryAt; before retryAt, calls fail with
	// lastDialErr.
	backoff     time.Duration
	retryAt     time.Time
	lastDialErr error
	closed      bool
}

// session is an open connection on which greetings have been exchanged.
type session struct {
	rpc    *jsonrpc2.Conn
	stream *frameStream
	remote chicoryhall.DaemonID
}

func newLink(node *Node, address string) *link {
	return &link{node: node, address: address, dialToken: make(chan struct{}, 1)}
}

// call sends one request, and sends it once more on a new connection if the connection is broken or a ping on it is not
// answered.
func (l *link) call(ctx context.Context, expected chicoryhall.DaemonID, method string, params json.RawMessage, result any) error {
	for attempts := 0; ; attempts++ {
		s, err := l.open(ctx, expected)
		if err != nil {
			return err
		}
		err = l.callSession(ctx, s, method, params, result)
		if err == nil || !shouldReconnect(err) {
			return err
		}
		l.closeSession(s, err)
		if attempts > 0 || ctx.Err() != nil {
			return err
		}
	}
}

// shouldReconnect reports whether a call that failed may succeed on a new connection. An error that the peer returned
// and the end of the call's context are final.
func shouldReconnect(err error) bool {
	var rpcError *jsonrpc2.Error
	return !errors.As(err, &rpcError) && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled)
}

// callSession sends one request and, while it waits for the answer, pings the connection whenever it is quiet.
func (l *link) callSession(ctx context.Context, s *session, method string, params json.RawMessage, result any) error {
	waiter, err := s.rpc.DispatchCall(ctx, method, params)
	if err != nil {
		return err
	}
	for {
		err = l.waitUntilQuiet(ctx, s, waiter, result)
		if !errors.Is(err, errNoAnswer) {
			return err
		}
		if err := l.ping(ctx, s); err != nil {
			return err
		}
	}
}

// waitUntilQuiet waits for the answer, or returns errNoAnswer if no message at all arrives for quietPeriod.
func (l *link) waitUntilQuiet(ctx context.Context, s *session, waiter jsonrpc2.Waiter, result any) error {
	for {
		before := s.stream.messagesRead.Load()
		err := waitFor(ctx, l.node.timer, quietPeriod, waiter, result)
		if !errors.Is(err, errNoAnswer) || s.stream.messagesRead.Load() == before {
			return err
		}
	}
}

// ping pings the connection and returns errPingUnanswered if it is not answered within pingTimeout.
func (l *link) ping(ctx context.Context, s *session) error {
	waiter, err := s.rpc.DispatchCall(ctx, methodPing, struct{}{})
	if err != nil {
		return err
	}
	err = waitFor(ctx, l.node.timer, pingTimeout, waiter, nil)
	if errors.Is(err, errNoAnswer) {
		return errPingUnanswered
	}
	return err
}

// waitFor waits for an answer, or returns errNoAnswer after limit, also if other messages arrive.
func waitFor(ctx context.Context, timer chicoryhall.Timer, limit time.Duration, waiter jsonrpc2.Waiter, result any) error {
	limited, cancel := withTimeout(ctx, timer, limit, errNoAnswer)
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
		l.closeSession(s, err)
		return err
	}
	return nil
}

// open returns the current session or opens one, unless a recent attempt failed. If expected is not empty, the peer must
// be that daemon.
func (l *link) open(ctx context.Context, expected chicoryhall.DaemonID) (*session, error) {
	select {
	case l.dialToken <- struct{}{}:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	defer func() { <-l.dialToken }()
	s, err := l.currentSession()
	if err != nil {
		return nil, err
	}
	if s == nil {
		s, err = l.dial(ctx)
		if err != nil {
			l.delayRetry(err)
			return nil, err
		}
	}
	if expected != "" && s.remote != expected {
		return nil, errors.Errorf("the daemon there is %q", s.remote)
	}
	return s, nil
}

// currentSession returns the current session, nil if there is none, or an error if none may be opened now.
func (l *link) currentSession() (*session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed { // The daemon's address changed or was removed, or this node has stopped.
		return nil, errors.New("the link is closed")
	}
	if l.session != nil {
		return l.session, nil
	}
	if l.node.timer.Now().Before(l.retryAt) {
		return nil, l.lastDialErr
	}
	return nil, nil
}

// dial opens a session: it connects and exchanges greetings.
func (l *link) dial(ctx context.Context) (*session, error) {
	ctx, cancel := withTimeout(ctx, l.node.timer, dialTimeout, context.DeadlineExceeded)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	stream := newFrameStream(conn, l.node.timer)
	options := append(l.node.meter.instrument(stream), jsonrpc2.SetLogger(protocolLogger{l.node.logger, l.address}))
	rpc := jsonrpc2.NewConn(context.Background(), stream, clientHandler{}, options...)
	var remote greeting
	if err := rpc.Call(ctx, methodGreeting, greeting{ID: l.node.self}, &remote); err != nil {
		_ = rpc.Close()
		return nil, errors.Wrap(err, "greet")
	}
	s := &session{rpc: rpc, stream: stream, remote: remote.ID}
	return s, l.setSession(s)
}

func (l *link) setSession(s *session) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = s.rpc.Close()
		return errors.New("the link is closed")
	}
	l.session = s
	l.backoff = 0
	l.node.watchDisconnect(l, s)
	return nil
}

// removeSession removes s, whose connection has ended, and reports whether it was still the current session.
func (l *link) removeSession(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != s {
		return false
	}
	l.session = nil
	return true
}

// delayRetry delays the next attempt to connect after a failed one. The delay doubles with each failure in a row, from
// minBackoff up to maxBackoff.
func (l *link) delayRetry(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	l.retryAt = l.node.timer.Now().Add(l.backoff)
	l.lastDialErr = err
}

// closeSession closes a session on which a call or notification failed, so that the next one opens another. The cause may
// also be a message that was too long to be sent.
func (l *link) closeSession(s *session, cause error) {
	l.mu.Lock()
	if l.session == s {
		l.session = nil
	}
	l.mu.Unlock()
	_ = s.rpc.Close()
	if errors.Is(cause, errPingUnanswered) && l.node.logger != nil {
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

// clientHandler rejects calls that arrive on a connection that this daemon opened.
type clientHandler struct{}

// Handle rejects one call: a daemon is called only on connections that its caller opened.
func (clientHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	replyError(ctx, conn, request, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "call on a connection of your own"})
}

// WithTimeout returns a context that is cancelled after limit, by timer's time, with the cause
// context.DeadlineExceeded. Unlike with context.WithTimeout, its Err is then context.Canceled.
func WithTimeout(ctx context.Context, timer chicoryhall.Timer, limit time.Duration) (context.Context, func()) {
	return withTimeout(ctx, timer, limit, context.DeadlineExceeded)
}

// withTimeout returns a context that is cancelled with cause after limit.
func withTimeout(ctx context.Context, timer chicoryhall.Timer, limit time.Duration, cause error) (context.Context, func()) {
	limited, cancel := context.WithCancelCause(ctx)
	subscription := timer.After(limit, func(time.Time) { cancel(cause) })
	return limited, func() {
		subscription.Cancel()
		cancel(context.Canceled)
	}
}
