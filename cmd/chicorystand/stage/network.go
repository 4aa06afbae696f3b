package stage

import (
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
)

const (
	// dialTimeout bounds establishing a connection.
	dialTimeout = time.Second
	// pingPeriod is the time between two pings and checks of each connection.
	pingPeriod = 100 * time.Millisecond
	// silenceLimit is the time without received data after which a replacement connection is dialed.
	silenceLimit = 300 * time.Millisecond
)

// Handler handles the events of a ConnPool's connections.
type Handler interface {
	// HandleMessage handles one message.
	HandleMessage(from *Conn, message *Message)
	// HandleClosed is called when a connection was closed. Messages sent on it may be lost.
	HandleClosed(c *Conn)
}

// ConnPool manages an engine's connections to other engines.
type ConnPool struct {
	timer   chicoryhall.Timer
	handler Handler
	engine  *nbio.Engine

	mu       sync.Mutex
	dialed   map[string]*Conn
	accepted map[*Conn]bool
	frozen   bool
}

// NewConnPool returns a Network that reports to handler.
func NewConnPool(timer chicoryhall.Timer, handler Handler) *ConnPool {
	n := &ConnPool{
		timer:    timer,
		handler:  handler,
		engine:   nbio.NewEngine(nbio.Config{Network: "tcp", NPoller: 1}),
		dialed:   map[string]*Conn{},
		accepted: map[*Conn]bool{},
	}
	n.engine.OnData(func(inner *nbio.Conn, data []byte) {
		if c, known := inner.Session().(*Conn); known {
			c.HandleData(data)
		}
	})
	n.engine.OnClose(func(inner *nbio.Conn, _ error) {
		if c, known := inner.Session().(*Conn); known {
			n.ConnClosed(c)
		}
	})
	return n
}

// Start starts the network and the periodic checks of its connections.
func (n *ConnPool) Start() error {
	if err := n.engine.Start(); err != nil {
		return errors.Wrap(err, "start the connections between engines")
	}
	n.timer.Every(pingPeriod, n.checkConns)
	return nil
}

// Stop closes all connections.
func (n *ConnPool) Stop() {
	n.engine.Stop()
}

// ConnTo returns the connection to an address. If there is none, it starts to dial one.
func (n *ConnPool) ConnTo(address string) *Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.dialed[address]; c != nil {
		return c
	}
	c := n.dial(address, nil)
	n.dialed[address] = c
	return c
}

// Accept takes over an upgraded connection from another engine.
func (n *ConnPool) Accept(inner *nbio.Conn) *Conn {
	c := &Conn{network: n, inner: inner, open: true, upgraded: true, lastReceived: n.timer.Now()}
	n.mu.Lock()
	n.accepted[c] = true
	n.mu.Unlock()
	return c
}

// ConnClosed removes a connection and reports it to the handler, unless it was a failed replacement.
func (n *ConnPool) ConnClosed(c *Conn) {
	c.mu.Lock()
	alreadyClosed := c.closed
	c.closed = true
	isReplacement := c.replaces != nil
	c.mu.Unlock()
	if alreadyClosed {
		return
	}
	n.mu.Lock()
	if n.dialed[c.address] == c {
		delete(n.dialed, c.address)
	}
	delete(n.accepted, c)
	n.mu.Unlock()
	if isReplacement {
		n.replacementFailed(c)
		return
	}
	n.handler.HandleClosed(c)
}

// Silence silences the open connections permanently.
func (n *ConnPool) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.dialed {
		c.silence()
	}
	for c := range n.accepted {
		c.silence()
	}
}

// SilenceTo silences the open connection to one address permanently.
func (n *ConnPool) SilenceTo(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.dialed[address]; c != nil {
		c.silence()
	}
}

func (n *ConnPool) dial(address string, replaces *Conn) *Conn {
	c := &Conn{address: address, network: n, lastReceived: n.timer.Now(), replaces: replaces}
	err := n.engine.DialAsyncTimeout("tcp", address, dialTimeout, func(inner *nbio.Conn, err error) {
		if err != nil {
			n.ConnClosed(c)
			return
		}
		// nbio's asynchronous dial leaves Nagle's algorithm enabled, which delays activations.
		_ = inner.SetNoDelay(true)
		n.upgrade(c, inner)
	})
	if err != nil {
		n.timer.After(0, func(time.Time) { n.ConnClosed(c) })
	}
	return c
}

func (n *ConnPool) upgrade(c *Conn, inner *nbio.Conn) {
	c.mu.Lock()
	c.inner = inner
	inner.SetSession(c)
	c.mu.Unlock()
	_, _ = inner.Write([]byte("POST " + Path + " HTTP/1.1\r\nHost: " + c.address +
		"\r\nConnection: Upgrade\r\nUpgrade: " + Protocol + "\r\nContent-Length: 0\r\n\r\n"))
}

// SetFrozen stops or resumes answering pings and checking the connections.
func (n *ConnPool) SetFrozen(frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen = frozen
}

func (n *ConnPool) isFrozen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen
}

// handle answers pings and passes all other messages to the handler.
func (n *ConnPool) handle(c *Conn, message *Message) {
	if message.Ping && n.isFrozen() {
		return
	}
	if message.Ping {
		c.Send(&Message{Pong: true})
		return
	}
	if message.Pong {
		return
	}
	n.handler.HandleMessage(c, message)
}
