package stage

import (
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// pingPeriod is the time between two looks at each connection.
	pingPeriod = 100 * time.Millisecond
	// silenceLimit is the time without any byte after which a new connection is tried.
	silenceLimit = 300 * time.Millisecond
)

// Handler takes what happens on the connections of a Network.
type Handler interface {
	// Received takes one message.
	Received(from *Conn, message *Message)
	// Closed tells that a connection has ended and its messages may be lost.
	Closed(c *Conn)
}

// Network holds an engine's connections to other engines.
type Network struct {
	timer   chicoryhall.Timer
	handler Handler
	engine  *nbio.Engine

	mu       sync.Mutex
	dialled  map[string]*Conn
	accepted map[*Conn]bool
	frozen   bool
}

// NewNetwork returns a Network that reports to handler.
func NewNetwork(timer chicoryhall.Timer, handler Handler) *Network {
	n := &Network{
		timer:    timer,
		handler:  handler,
		engine:   nbio.NewEngine(nbio.Config{Network: "tcp", NPoller: 1}),
		dialled:  map[string]*Conn{},
		accepted: map[*Conn]bool{},
	}
	n.engine.OnData(func(inner *nbio.Conn, data []byte) {
		if c, known := inner.Session().(*Conn); known {
			c.Received(data)
		}
	})
	n.engine.OnClose(func(inner *nbio.Conn, _ error) {
		if c, known := inner.Session().(*Conn); known {
			n.Closed(c)
		}
	})
	return n
}

// Start begins to watch the connections.
func (n *Network) Start() error {
	if err := n.engine.Start(); err != nil {
		return errors.Wrap(err, "start the connections between engines")
	}
	n.timer.Every(pingPeriod, n.watch)
	return nil
}

// Stop closes all connections.
func (n *Network) Stop() {
	n.engine.Stop()
}

// To returns the connection to an address and dials it when there is none.
func (n *Network) To(address string) *Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.dialled[address]; c != nil {
		return c
	}
	c := n.dial(address, nil)
	n.dialled[address] = c
	return c
}

// Accept takes over an upgraded connection from another engine.
func (n *Network) Accept(inner *nbio.Conn) *Conn {
	c := &Conn{network: n, inner: inner, open: true, upgraded: true, heard: n.timer.Now()}
	n.mu.Lock()
	n.accepted[c] = true
	n.mu.Unlock()
	return c
}

// Closed forgets a connection and reports it.
func (n *Network) Closed(c *Conn) {
	c.mu.Lock()
	was := c.closed
	c.closed = true
	trial := c.replaces != nil
	c.mu.Unlock()
	if was {
		return
	}
	n.mu.Lock()
	if n.dialled[c.address] == c {
		delete(n.dialled, c.address)
	}
	delete(n.accepted, c)
	n.mu.Unlock()
	if trial {
		n.endTrial(c)
		return
	}
	n.handler.Closed(c)
}

// Silence makes the open connections silent for good.
func (n *Network) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.dialled {
		c.silence()
	}
	for c := range n.accepted {
		c.silence()
	}
}

// SilenceTo makes the open connection to one address silent for good.
func (n *Network) SilenceTo(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.dialled[address]; c != nil {
		c.silence()
	}
}

func (n *Network) dial(address string, replaces *Conn) *Conn {
	c := &Conn{address: address, network: n, heard: n.timer.Now(), replaces: replaces}
	err := n.engine.DialAsyncTimeout("tcp", address, dialTimeout, func(inner *nbio.Conn, err error) {
		if err != nil {
			n.Closed(c)
			return
		}
		// nbio's asynchronous dial leaves Nagle's algorithm on, which holds activations back.
		_ = inner.SetNoDelay(true)
		n.upgrade(c, inner)
	})
	if err != nil {
		n.timer.After(0, func(time.Time) { n.Closed(c) })
	}
	return c
}

func (n *Network) upgrade(c *Conn, inner *nbio.Conn) {
	c.mu.Lock()
	c.inner = inner
	inner.SetSession(c)
	c.mu.Unlock()
	_, _ = inner.Write([]byte("POST " + Path + " HTTP/1.1\r\nHost: " + c.address +
		"\r\nConnection: Upgrade\r\nUpgrade: " + Protocol + "\r\nContent-Length: 0\r\n\r\n"))
}

// Freeze stops or resumes the answers to pings and the watch over the connections.
func (n *Network) Freeze(frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen = frozen
}

func (n *Network) isFrozen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen
}

// handle answers what belongs to the connection itself and hands on the rest.
func (n *Network) handle(c *Conn, message *Message) {
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
	n.handler.Received(c, message)
}
