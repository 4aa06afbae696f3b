package engine

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/idle"
)

const (
	// dialTimeout bounds the wait for a new connection.
	dialTimeout = time.Second
	// idleTimeout ends a connection that carried nothing for so long.
	idleTimeout = 20 * time.Second
	// maxIdlePerAddress bounds the idle connections kept for one endpoint.
	maxIdlePerAddress = 64
	// readLimit bounds one piece of an answer, in bytes.
	readLimit = 16 << 20
)

// errStopped is the cause of failures after the client has stopped.
var errStopped = errors.New("the client is stopped")

// Client exchanges HTTP messages with endpoints over reused nbio connections.
type Client struct {
	timer   chicoryhall.Timer
	loop    *nbhttp.Engine
	dials   errgroup.Group
	stopped atomic.Bool
	idle    *idle.Connections[*connection]
}

// NewClient returns a Client whose event loop runs until Serve ends.
func NewClient(timer chicoryhall.Timer) (*Client, error) {
	logging.SetLevel(logging.LevelNone)
	loop := nbhttp.NewEngine(nbhttp.Config{
		Name: "engine-client", ReadLimit: readLimit, NPoller: pollers(), SupportServerOnly: true,
	})
	if err := loop.Start(); err != nil {
		return nil, errors.WithMessage(err, "start the engine client's event loop")
	}
	return &Client{timer: timer, loop: loop, idle: idle.New[*connection](maxIdlePerAddress)}, nil
}

// processorsPerPoller is the number of processors for which one goroutine waits for events;
// fewer of them read more events per wake-up.
const processorsPerPoller = 4

func pollers() int {
	return max(1, runtime.GOMAXPROCS(0)/processorsPerPoller)
}

// Serve keeps the client running until ctx ends.
func (c *Client) Serve(ctx context.Context) error {
	tick := c.timer.Every(idleTimeout/2, c.idle.CloseExpired)
	defer tick.Cancel()
	<-ctx.Done()
	c.stopped.Store(true)
	c.loop.Stop()
	return c.dials.Wait()
}

// String names the part in the supervisor's reports.
func (c *Client) String() string { return "engine client" }

// exchange is one request and the receiver of its answer.
type exchange struct {
	address string
	step    string
	request []byte
	// fresh demands a new connection.
	fresh    bool
	receiver receiver
}

// receiver gets an answer piece by piece; exactly one of onWhole and onFailure ends it.
type receiver interface {
	// onSending is called right before the first byte is written.
	onSending(conn *connection)
	onStatus(code int)
	// onBody gets a piece that is valid during the call only.
	onBody(piece []byte) error
	onWhole()
	onFailure(failure *Error)
}

// send starts an exchange; its receiver is called on other goroutines.
func (c *Client) send(x exchange) {
	if !x.fresh {
		if conn, found := c.idle.Take(x.address, c.timer.Now()); found && conn.begin(x) {
			return
		}
	}
	c.dials.Go(func() error {
		c.dial(x)
		return nil
	})
}

// dial opens a new connection and sends the request on it.
func (c *Client) dial(x exchange) {
	if c.stopped.Load() {
		x.receiver.onFailure(&Error{kind: FailureClosed, step: x.step, peer: x.address, cause: errStopped})
		return
	}
	plain, err := net.DialTimeout("tcp", x.address, dialTimeout)
	if err != nil {
		x.receiver.onFailure(dialError(x, err))
		return
	}
	raw, err := nbio.NBConn(plain)
	if err != nil {
		_ = plain.Close()
		x.receiver.onFailure(&Error{kind: FailureUnreachable, step: x.step, peer: x.address, cause: err})
		return
	}
	conn := newConnection(c, x.address, raw)
	if _, err := c.loop.AddConn(raw); err != nil {
		_ = raw.Close()
		x.receiver.onFailure(&Error{kind: FailureUnreachable, step: x.step, peer: x.address, cause: err})
		return
	}
	if !conn.begin(x) {
		x.receiver.onFailure(&Error{kind: FailureBroken, step: x.step, peer: x.address, cause: net.ErrClosed})
	}
}

func dialError(x exchange, err error) *Error {
	kind := FailureUnreachable
	if errors.Is(err, syscall.ECONNREFUSED) {
		kind = FailureRefused
	}
	return &Error{kind: kind, step: x.step, peer: x.address, cause: err}
}

// CloseIdle closes the idle connections to an endpoint whose open ones have gone silent.
func (c *Client) CloseIdle(address string) { c.idle.CloseAll(address) }
