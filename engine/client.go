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
	"chicoryhall.example/chicoryhall/eventloop"
	"chicoryhall.example/chicoryhall/idle"
)

const (
	// dialTimeout limits the time to open a connection.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 20 * time.Second
	// maxIdlePerAddress limits the idle connections to one endpoint.
	maxIdlePerAddress = 64
	// maxReadBytes limits one piece of an answer, as it is passed to OnBody. A whole answer may be
	// longer, see maxAnswerBytes.
	maxReadBytes = 16 << 20
)

// errStopped is the cause of failures after the Client has stopped.
var errStopped = errors.New("the client is stopped")

// Client exchanges HTTP messages with endpoints and reuses connections. It is built on nbio, so
// that no goroutine waits for an answer that is streamed.
type Client struct {
	timer chicoryhall.Timer
	loop  *nbhttp.Engine
	// stoppable stops loop.
	stoppable *eventloop.Loop
	dials     errgroup.Group
	stopped   atomic.Bool
	idle      *idle.Connections[*connection]
}

// NewClient returns a Client. Its event loop runs until Serve ends.
func NewClient(timer chicoryhall.Timer) (*Client, error) {
	logging.SetLevel(logging.LevelNone)
	loop := nbhttp.NewEngine(nbhttp.Config{
		Name: "engine-client", ReadLimit: maxReadBytes, NPoller: pollerCount(), SupportServerOnly: true,
	})
	stoppable := eventloop.New(loop.Engine)
	if err := loop.Start(); err != nil {
		return nil, errors.WithMessage(err, "start the engine client's event loop")
	}
	return &Client{timer: timer, loop: loop, stoppable: stoppable, idle: idle.New[*connection](maxIdlePerAddress)}, nil
}

// processorsPerPoller is the number of processors per goroutine that polls for events. With fewer
// such goroutines, each reads more events per wake-up.
const processorsPerPoller = 4

func pollerCount() int {
	return max(1, runtime.GOMAXPROCS(0)/processorsPerPoller)
}

// Serve runs until ctx ends and then stops the Client.
func (c *Client) Serve(ctx context.Context) error {
	tick := c.timer.Every(idleTimeout/2, c.idle.CloseExpired)
	defer tick.Cancel()
	<-ctx.Done()
	c.stopped.Store(true)
	c.stoppable.Stop(c.loop.Stop)
	return c.dials.Wait()
}

// String returns the name that the supervisor logs.
func (c *Client) String() string { return "engine client" }

// exchange is a request and the receiver of its answer.
type exchange struct {
	address   string
	operation string
	request   []byte
	// newConnection means that no idle connection may be used.
	newConnection bool
	receiver      receiver
}

// receiver gets an answer in pieces. The last call is either onComplete or onFailure.
type receiver interface {
	// onSending is called before the first byte of the request is written. If it returns false, nothing is written, and no other
	// method is called.
	onSending(conn *connection) bool
	onStatus(code int)
	// onBody gets a piece of the body, which is valid only during the call.
	onBody(piece []byte) error
	onComplete()
	onFailure(failure *Error)
}

// send starts an exchange. Its receiver is called on other goroutines.
func (c *Client) send(x exchange) {
	if !x.newConnection {
		if conn, found := c.idle.Take(x.address, c.timer.Now()); found && conn.start(x) {
			return
		}
	}
	c.dials.Go(func() error {
		c.dial(x)
		return nil
	})
}

// dial opens a new connection and sends the request over it.
func (c *Client) dial(x exchange) {
	if c.stopped.Load() {
		x.receiver.onFailure(&Error{kind: FailureClosed, operation: x.operation, address: x.address, cause: errStopped})
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
		x.receiver.onFailure(&Error{kind: FailureUnreachable, operation: x.operation, address: x.address, cause: err})
		return
	}
	conn := newConnection(c, x.address, raw)
	if _, err := c.loop.AddConn(raw); err != nil {
		_ = raw.Close()
		x.receiver.onFailure(&Error{kind: FailureUnreachable, operation: x.operation, address: x.address, cause: err})
		return
	}
	if !conn.start(x) {
		x.receiver.onFailure(&Error{kind: FailureBroken, operation: x.operation, address: x.address, cause: net.ErrClosed})
	}
}

func dialError(x exchange, err error) *Error {
	kind := FailureUnreachable
	if errors.Is(err, syscall.ECONNREFUSED) {
		kind = FailureRefused
	}
	return &Error{kind: kind, operation: x.operation, address: x.address, cause: err}
}

// CloseIdle closes the idle connections to an endpoint; it is for endpoints whose connections may
// be broken without notice.
func (c *Client) CloseIdle(address string) { c.idle.CloseAddress(address) }
