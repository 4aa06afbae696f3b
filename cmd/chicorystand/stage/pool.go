package stage

import (
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/dial"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/shutdown"
)

const (
	// dialTimeout is the maximum time for establishing a connection.
	dialTimeout = time.Second
	// pingPeriod is the time between two pings on a dialed connection. At each ping it is also checked whether anything
	// has been received on the connection for silenceLimit.
	pingPeriod = 100 * time.Millisecond
	// silenceLimit is the time without received data after which a replacement is dialed: three pings without an
	// answer.
	silenceLimit = 300 * time.Millisecond
)

// errStopped means that a connection was not dialed because the pool has been stopped.
var errStopped = errors.New("the pool of connections has been stopped")

// Handler handles the messages and the closing of a ConnPool's connections.
type Handler interface {
	// HandleMessage handles one message other than a ping or its answer.
	HandleMessage(from *Conn, message *Message)
	// HandleClosed is called when a connection was closed or could not be established. Messages sent on it may be lost.
	HandleClosed(c *Conn)
}

// ConnPool holds a simulated engine's connections to other engines.
type ConnPool struct {
	timer   chicoryhall.Timer
	handler Handler
	nbio    *nbio.Engine
	dialer  *dial.Dialer

	// stopMu is held for reading while a dial starts, which it must not do once the pool stops.
	stopMu  sync.RWMutex
	stopped bool

	mu       sync.Mutex
	dialed   map[string]*Conn // by address
	accepted map[*Conn]bool
	frozen   bool
}

// NewConnPool returns a ConnPool that reports to handler.
func NewConnPool(timer chicoryhall.Timer, handler Handler) *ConnPool {
	p := &ConnPool{
		timer:    timer,
		handler:  handler,
		nbio:     nbio.NewEngine(nbio.Config{Network: "tcp", NPoller: 1}),
		dialed:   map[string]*Conn{},
		accepted: map[*Conn]bool{},
	}
	p.dialer = dial.New(p.nbio, dialTimeout)
	p.nbio.OnData(func(inner *nbio.Conn, data []byte) {
		if c, ok := inner.Session().(*Conn); ok {
			c.HandleData(data)
		}
	})
	p.nbio.OnClose(func(inner *nbio.Conn, _ error) {
		if c, ok := inner.Session().(*Conn); ok {
			p.ConnClosed(c)
		}
	})
	return p
}

// Start starts nbio and the periodic checks of the dialed connections.
func (p *ConnPool) Start() error {
	if err := p.nbio.Start(); err != nil {
		return errors.Wrap(err, "start nbio for the connections between engines")
	}
	p.timer.Every(pingPeriod, p.checkConns)
	return nil
}

// Stop closes all connections. Connections that are dialed later fail.
func (p *ConnPool) Stop() {
	p.stopMu.Lock()
	p.stopped = true
	p.stopMu.Unlock()
	p.dialer.Stop()
	shutdown.Engine(p.nbio)
}

// ConnTo returns the connection to an address. If there is none, it starts to dial the address and returns the
// connection at once; messages wait until it is open.
func (p *ConnPool) ConnTo(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.dialed[address]; c != nil {
		return c
	}
	c := p.dial(address, nil)
	p.dialed[address] = c
	return c
}

// Accept adds an upgraded connection that another engine has dialed. The caller has to pass its data to Conn.HandleData
// and report its end to ConnClosed.
func (p *ConnPool) Accept(inner *nbio.Conn) *Conn {
	c := &Conn{pool: p, inner: inner, open: true, upgraded: true, lastReceived: p.timer.Now()}
	p.mu.Lock()
	p.accepted[c] = true
	p.mu.Unlock()
	return c
}

// ConnClosed removes a connection that was closed or could not be established, and reports it to the handler. If it was
// to replace another one and has not done so yet, replacementClosed handles it instead.
func (p *ConnPool) ConnClosed(c *Conn) {
	c.mu.Lock()
	alreadyClosed := c.closed
	c.closed = true
	isReplacement := c.replaces != nil
	c.mu.Unlock()
	if alreadyClosed {
		return
	}
	p.mu.Lock()
	if p.dialed[c.address] == c {
		delete(p.dialed, c.address)
	}
	delete(p.accepted, c)
	p.mu.Unlock()
	if isReplacement {
		p.replacementClosed(c)
		return
	}
	p.handler.HandleClosed(c)
}

// Silence makes all connections, also those still being dialed, discard all data permanently. They stay open. New
// connections and those dialed as replacements work.
func (p *ConnPool) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.dialed {
		c.silence()
	}
	for c := range p.accepted {
		c.silence()
	}
}

// SilenceTo does the same for the dialed connection to one address.
func (p *ConnPool) SilenceTo(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.dialed[address]; c != nil {
		c.silence()
	}
}

// dial starts to dial an address. replaces is the connection that the new one may replace, or nil.
func (p *ConnPool) dial(address string, replaces *Conn) *Conn {
	c := &Conn{address: address, pool: p, lastReceived: p.timer.Now(), replaces: replaces}
	if err := p.startDial(c); err != nil {
		// The caller may hold mu, which ConnClosed locks.
		p.timer.After(0, func(time.Time) { p.ConnClosed(c) })
	}
	return c
}

// startDial dials the connection's address, unless the pool has been stopped.
func (p *ConnPool) startDial(c *Conn) error {
	p.stopMu.RLock()
	defer p.stopMu.RUnlock()
	if p.stopped {
		return errStopped
	}
	p.dialer.Start(c.address, c, func(inner *nbio.Conn, err error) {
		if err != nil {
			p.ConnClosed(c)
			return
		}
		p.upgrade(c, inner)
	})
	return nil
}

// upgrade requests the upgrade on an established connection. Conn.HandleData handles the response.
func (p *ConnPool) upgrade(c *Conn, inner *nbio.Conn) {
	c.mu.Lock()
	c.inner = inner
	c.mu.Unlock()
	_, _ = inner.Write([]byte("POST " + Path + " HTTP/1.1\r\nHost: " + c.address +
		"\r\nConnection: Upgrade\r\nUpgrade: " + Protocol + "\r\nContent-Length: 0\r\n\r\n"))
}

// SetFrozen stops (true) or resumes (false) answering pings and checking the connections, as in a paused process. All
// other messages are still passed to the handler, which has to make them wait itself.
func (p *ConnPool) SetFrozen(frozen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = frozen
}

func (p *ConnPool) isFrozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frozen
}

// handle answers pings and passes all other messages to the handler.
func (p *ConnPool) handle(c *Conn, message *Message) {
	if message.Ping && p.isFrozen() {
		return
	}
	if message.Ping {
		c.Send(&Message{Pong: true})
		return
	}
	if message.Pong {
		return // HandleData has recorded the time
	}
	p.handler.HandleMessage(c, message)
}
